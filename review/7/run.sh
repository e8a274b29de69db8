#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 runs it without the disruption. First run review/build-2.sh and the build line of
# deploy/system.toml.
folder="$(cd "$(dirname "$0")" && pwd)"
repository="$(cd "$folder/../.." && pwd)"
classes="$repository/review/src-3/target"
[[ -f "$classes/RemovalAfterCut.class" && -f "$repository/cli/target/greengageport" ]] || exit 2
exec java -Xmx500m -cp "$classes" RemovalAfterCut "$folder"
