#!/bin/sh
# Few threads: with more, most of the CPU time goes into parking and waking them.
exec java ${GREENGAGEPORT_JAVA_OPTS:--Xmx256m -XX:+UseSerialGC -XX:ActiveProcessorCount=2 -Dkotlinx.coroutines.io.parallelism=8} -jar "$0" "$@"
exit 1
