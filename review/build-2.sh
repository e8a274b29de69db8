#!/usr/bin/env bash
# Builds the stand-ins and scripts of cases 6 to 10 with the JDK alone, into review/src-2/target.
set -euo pipefail
cd "$(dirname "$0")/src-2"
rm -rf target
mkdir -p target
javac -Xlint:all -d target ./*.java

# Case 8 has stand-ins of its own.
cd ../src-3
rm -rf target
mkdir -p target
javac -Xlint:all -d target ./*.java
