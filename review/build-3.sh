#!/bin/sh
# Builds the stand-ins of cases 11 to 15 with the JDK alone. Run after the build line of deploy/system.toml.
set -eu
cd "$(dirname "$0")/src-4"
rm -rf target
mkdir -p target
javac -Xlint:all -d target bed/*.java
