#!/bin/sh
# Usage: case.sh CASE FOLDER. Runs a case with the command of the deploy file; writes FOLDER/record.txt.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
set -u
case_name=$1
folder=$(cd "$2" && pwd) || exit 2
cd "$(dirname "$0")/../.." || exit 2
program=$(sed -n 's/^run = "\(.*\)"$/\1/p' deploy/system.toml | head -n 1)
driver=target/review-3/release/wagtailshunt-review-standins-3
if [ -z "$program" ] || [ ! -x "${program%% *}" ] || [ ! -x "$driver" ]; then
    echo "build the deploy file and review/build-3.sh first" >&2
    exit 2
fi
temporary=$(mktemp -d) || exit 2
clean_up() {
    # Daemons of a driver that was ended from outside.
    if [ -f "$temporary/pids" ]; then
        while read -r pid; do
            [ -r "/proc/$pid/cmdline" ] || continue
            case "$(tr '\0' ' ' <"/proc/$pid/cmdline")" in
                "$program"*) kill -KILL "$pid" 2>/dev/null ;;
            esac
        done <"$temporary/pids"
    fi
    rm -rf "$temporary"
}
trap clean_up EXIT
trap 'exit 2' INT TERM
"$driver" "$case_name" "$program" "$temporary" "$folder/record.txt" "${TROUBLE:-1}"
