#!/usr/bin/env bash
# Builds the stand-ins and scripts of cases 6 to 10 with the JDK alone. Those of 6, 9 and 10 go into
# review/src-2/target, those of 7 and 8 into review/src-3/target.
set -euo pipefail
cd "$(dirname "$0")/src-2"
rm -rf target
mkdir -p target
javac -Xlint:all -d target ./*.java

cd ../src-3
rm -rf target
mkdir -p target
javac -Xlint:all -d target ./*.java
