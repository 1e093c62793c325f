#!/usr/bin/env bash
# Plays the case once. TROUBLE=0 leaves the disruption out.
set -euo pipefail
here="$(cd "$(dirname "$0")" && pwd)"
cd "$here/../.."
exec java -Xmx256m -cp target/review-2:target/platform/laurelweir.jar CrashAgain "$here/record.txt"
