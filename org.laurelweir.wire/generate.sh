#!/usr/bin/env bash
# Makes src/generated/java from src/main/proto. Run by hand after a change; the result is committed, so the
# build needs neither program. Wants protoc 3.25.8 (Maven: com.google.protobuf:protoc, exe, linux-x86_64)
# in $PROTOC and Debian's protobuf-compiler-grpc-java-plugin in $GRPC_JAVA_PLUGIN.
set -euo pipefail
cd "$(dirname "$0")"
: "${PROTOC:?path of the protoc program}"
plugin=${GRPC_JAVA_PLUGIN:-$(command -v grpc_java_plugin)}
out=src/generated/java
rm -rf "$out/org/laurelweir/wire/v1"
mkdir -p "$out"
"$PROTOC" -I src/main/proto --java_out="$out" --plugin=protoc-gen-grpc-java="$plugin" \
    --grpc-java_out="$out" src/main/proto/laurelweir/v1/*.proto
