#!/bin/sh
# Runs the case in folder $1 with the main class $2 in the repository; see run.sh there.
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/.." || exit 2
[ -x cli/target/greengageport ] || { echo "build the program first" >&2; exit 2; }
[ -d review/target ] || { echo "run review/build.sh first" >&2; exit 2; }
exec java -Xmx512m -XX:+UseSerialGC -cp review/target "$2" "$1"
