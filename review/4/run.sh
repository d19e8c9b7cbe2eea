#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
set -u
cd "$(dirname "$0")/../.." || exit 2
folder=$(mktemp -d) || exit 2
trap 'rm -rf "$folder"' EXIT
target/review/release/review-standins late-stop review/4/record.txt "$folder"
code=$?
[ "$code" -le 2 ] || code=2
exit "$code"
