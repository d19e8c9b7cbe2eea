#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run; TROUBLE=0 plays no disruption.
here=$(dirname "$0")
exec sh "$here/../standins-3/case.sh" callers-leave "$here"
