#!/bin/sh
exec java ${GREENGAGEPORT_JAVA_OPTS:--Xmx256m -XX:+UseSerialGC -XX:TieredStopAtLevel=4} -jar "$0" "$@"
exit 1
