#!/usr/bin/env bash
# Makes src/generated/java from src/main/proto. Run by hand after a change; the result is committed, so the
# build needs neither program. Wants protoc 3.25.8 (Maven: com.google.protobuf:protoc, exe, with the classifier
# linux-x86_64 or linux-aarch_64 by the kind of machine) in $PROTOC, or fetches it, and Debian's
# protobuf-compiler-grpc-java-plugin in $GRPC_JAVA_PLUGIN.
set -euo pipefail
cd "$(dirname "$0")"
if [ -z "${PROTOC:-}" ]; then
    case $(uname -m) in
        x86_64) classifier=linux-x86_64 ;;
        aarch64) classifier=linux-aarch_64 ;;
        *) echo "no protoc for $(uname -m): set PROTOC" >&2 && exit 1 ;;
    esac
    mvn -B -ntp -q dependency:copy -DoutputDirectory=target/protoc \
        -Dartifact="com.google.protobuf:protoc:3.25.8:exe:$classifier"
    PROTOC=target/protoc/protoc-3.25.8-$classifier.exe
    chmod +x "$PROTOC"
fi
plugin=${GRPC_JAVA_PLUGIN:-$(command -v grpc_java_plugin)}
out=src/generated/java
rm -rf "$out/org/laurelweir/wire/v1"
mkdir -p "$out"
"$PROTOC" -I src/main/proto --java_out="$out" --plugin=protoc-gen-grpc-java="$plugin" \
    --grpc-java_out="$out" src/main/proto/laurelweir/v1/*.proto
