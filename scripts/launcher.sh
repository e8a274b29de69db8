#!/bin/sh
# Few threads: with more, most of the CPU time is spent on parking and waking them.
# With UseDynamicNumberOfCompilerThreads, the JVM reads the free memory before it starts each
# compiler thread, which costs 2 to 4 KB/s of I/O in an idle instance.
exec java ${GREENGAGEPORT_JAVA_OPTS:--Xmx256m -XX:+UseSerialGC -XX:ActiveProcessorCount=2 -XX:-UseDynamicNumberOfCompilerThreads -Dkotlinx.coroutines.io.parallelism=8} -jar "$0" "$@"
exit 1
