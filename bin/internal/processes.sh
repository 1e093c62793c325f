# Sourced by bin/demo: starts programs in the background, waits for them and stops them by pid.
# Everything lives below $lw_data: settings/NAME.yaml, ports/NAME[-metrics], logs/NAME.log.

lw_names=()
lw_pids=()

# lw_start NAME SCRIPT: starts a program from its settings file; the scripts end in exec, so that
# the pid is the program's own.
lw_start() {
    "$lw_bin/$2" --settings "$lw_data/settings/$1.yaml" \
        >"$lw_data/logs/$1.log" 2>&1 </dev/null &
    lw_pids+=($!)
    lw_names+=("$1")
}

# lw_fail MESSAGE...: ends the script; its exit trap stops what runs.
lw_fail() {
    echo "demo: $*" >&2
    exit 1
}

# lw_await SECONDS WHAT COMMAND...: repeats a command until it succeeds, or fails.
lw_await() {
    local seconds=$1 what=$2 end
    shift 2
    end=$((SECONDS + seconds))
    until "$@" 2>/dev/null; do
        lw_check_alive
        [ "$SECONDS" -lt "$end" ] || lw_fail "$what: not within $seconds s; logs in $lw_data/logs"
        sleep 0.1
    done
}

# Fails as soon as a program has ended that should run, with the end of its log.
lw_check_alive() {
    local i
    for i in "${!lw_pids[@]}"; do
        kill -0 "${lw_pids[$i]}" 2>/dev/null && continue
        tail -n 5 "$lw_data/logs/${lw_names[$i]}.log" >&2
        lw_fail "${lw_names[$i]} has ended"
    done
}

lw_has_port() {
    [ -s "$lw_data/ports/$1" ]
}

# lw_port NAME: prints the port that a program listens on, once it does.
lw_port() {
    lw_await 60 "port of $1" lw_has_port "$1"
    cat "$lw_data/ports/$1"
}

# lw_stop PATTERN...: stops the programs whose names match, all at once, and waits for each. Fails if
# one did not stop by itself.
lw_stop() {
    local i pattern late=0 end=$((SECONDS + 30)) matching=()
    for i in "${!lw_pids[@]}"; do
        for pattern in "$@"; do
            # shellcheck disable=SC2254 # The pattern is meant as one.
            case ${lw_names[$i]} in $pattern) matching+=("$i") ;; esac
        done
    done
    for i in "${matching[@]}"; do
        kill -TERM "${lw_pids[$i]}" 2>/dev/null || true
    done
    for i in "${matching[@]}"; do
        lw_wait_stopped "$i" "$end" || late=1
    done
    return $late
}

# lw_wait_stopped INDEX END: waits until a program has ended, and kills it at the end of the time.
lw_wait_stopped() {
    while kill -0 "${lw_pids[$1]}" 2>/dev/null; do
        if [ "$SECONDS" -ge "$2" ]; then
            echo "demo: ${lw_names[$1]} did not stop in time and is killed" >&2
            kill -KILL "${lw_pids[$1]}"
            return 1
        fi
        sleep 0.1
    done
}

# lw_free_ports COUNT: prints ports on which nothing listens, below those that the operating system
# gives to others. Another process may still take one first; who listens then fails at its start.
lw_free_ports() {
    local found=0 port
    while [ "$found" -lt "$1" ]; do
        port=$((10000 + (RANDOM << 15 | RANDOM) % 22000))
        (exec 3<>"/dev/tcp/127.0.0.1/$port") 2>/dev/null && continue
        echo "$port"
        found=$((found + 1))
    done
}
