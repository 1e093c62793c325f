# Sourced by the scripts beside this folder: starts a program's main class in this process.
#
# The libraries stand in lib/ of a distribution, or in target/dist/lib of a built repository.
# LAURELWEIR_HEAP, such as 256m, replaces a program's own heap limit; LAURELWEIR_JAVA_OPTS adds to
# the options of the virtual machine; JAVA_HOME chooses it.

lw_root=$(cd "$(dirname "${BASH_SOURCE[0]}")/../.." && pwd)

# lw_run HEAP MAIN_CLASS [ARGUMENT...]
lw_run() {
    local heap=${LAURELWEIR_HEAP:-$1} main=$2 lib=$lw_root/lib java=java
    shift 2
    [ -d "$lib" ] || lib=$lw_root/target/dist/lib
    if [ ! -d "$lib" ]; then
        echo "no libraries in $lib: build with 'mvn -B -q -DskipTests package' in $lw_root" >&2
        exit 65
    fi
    [ -z "${JAVA_HOME:-}" ] || java=$JAVA_HOME/bin/java
    # Small instances: one arena for each kind of buffer, short stacks, the collector without
    # threads of its own.
    # shellcheck disable=SC2086 # LAURELWEIR_JAVA_OPTS holds several options.
    exec "$java" -XX:-UsePerfData -XX:+UseSerialGC -Xss512k -Xms16m "-Xmx$heap" \
        -XX:ReservedCodeCacheSize=64m -XX:TieredStopAtLevel="${lw_tier:-4}" \
        --add-opens java.base/jdk.internal.misc=ALL-UNNAMED \
        -Dio.netty.allocator.numHeapArenas=1 -Dio.netty.allocator.numDirectArenas=1 \
        -Dio.netty.jfr.enabled=false \
        ${LAURELWEIR_JAVA_OPTS:-} -cp "$lib/*" "$main" "$@"
}
