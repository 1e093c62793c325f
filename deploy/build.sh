#!/usr/bin/env bash
# Builds the programs and the archive of their classes, from which they start much sooner.
# The archive is made with the flags that the roles run with; another one would not be used. Without
# an archive the programs start all the same, only later, so that its failure does not fail the build.
set -euo pipefail
cd "$(dirname "$0")/.."
# Libraries that are not used any more would still be found, and one of them chosen.
rm -rf target/dist target/platform
mvn -B -ntp -q -DskipTests package
rm -rf target/archive target/laurelweir.jsa
java -XX:-UsePerfData -XX:+UseSerialGC -XX:TieredStopAtLevel=1 -Xss256k -Xmx96m \
    --add-opens=java.base/jdk.internal.misc=ALL-UNNAMED -Dio.netty.jfr.enabled=false \
    -XX:ArchiveClassesAtExit=target/laurelweir.jsa -Xlog:cds=error -Xlog:cds+dynamic=error \
    -cp target/platform/laurelweir.jar org.laurelweir.platform.ClassArchiveMain target/archive ||
    echo "no archive of classes: the programs will start more slowly" >&2
