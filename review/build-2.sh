#!/usr/bin/env bash
# Builds the stand-ins of this review's scripts. Java's own compiler is enough; nothing is fetched.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
javac -cp target/platform/laurelweir.jar -d target/review-2 review/standins-2/*.java
