#!/bin/sh
# Few threads: with more, most of the CPU time goes into parking and waking them. The JVM otherwise
# reads the free memory before it starts each compiler thread, 2 to 4 KB/s in an idle instance.
exec java ${GREENGAGEPORT_JAVA_OPTS:--Xmx256m -XX:+UseSerialGC -XX:ActiveProcessorCount=2 -XX:-UseDynamicNumberOfCompilerThreads -Dkotlinx.coroutines.io.parallelism=8} -jar "$0" "$@"
exit 1
