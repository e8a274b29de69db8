#!/bin/sh
# Builds the stand-ins of the cases. Needs only the JDK; run after the build line of deploy/system.toml.
set -eu
here=$(cd "$(dirname "$0")" && pwd)
rm -rf "$here/target"
mkdir -p "$here/target"
javac -d "$here/target" "$here"/src/*.java
