#!/bin/sh
# Runs the case of folder $1: the main class $2, whose arguments are the folder and the rest.
here=$(cd "$(dirname "$0")" && pwd)
folder=$1
main=$2
shift 2
cd "$here/.." || exit 2
[ -x cli/target/greengageport ] || { echo "build the program first" >&2; exit 2; }
[ -d review/target ] || { echo "run review/build.sh first" >&2; exit 2; }
exec java -Xmx512m -XX:+UseSerialGC -cp review/target "$main" "$folder" "$@"
