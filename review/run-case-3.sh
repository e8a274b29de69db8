#!/bin/sh
# Runs one of cases 11 to 15: run-case-3.sh CLASS FOLDER. Exits with 1 if the rule was broken, 0 if it held, 2 if
# the case couldn't run.
class=$1
here=$(cd "$2" && pwd) || exit 2
root=$(cd "$here/../.." && pwd) || exit 2
[ -x "$root/cli/target/greengageport" ] && [ -d "$root/review/src-4/target" ] || {
    echo "run the build line of deploy/system.toml and review/build-3.sh first" >&2
    exit 2
}
scratch=$(mktemp -d) || exit 2
java -Xmx1500m -cp "$root/review/src-4/target" "bed.$class" "$root" "$scratch" "$here/record.txt" &
child=$!
trap 'kill "$child" 2>/dev/null' INT TERM
wait "$child"
status=$?
rm -rf "$scratch"
case $status in
    0 | 1) exit "$status" ;;
    *) exit 2 ;;
esac
