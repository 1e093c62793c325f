# Sourced by bin/demo: HTTP calls to loopback without a client program.

# lw_http PORT METHOD PATH [BODY [HEADER...]]: prints the answer with its head.
lw_http() {
    local port=$1 method=$2 path=$3 body=${4:-} header
    shift $(($# < 4 ? $# : 4))
    exec 3<>"/dev/tcp/127.0.0.1/$port" || return 1
    {
        printf '%s %s HTTP/1.1\r\nHost: 127.0.0.1:%s\r\nConnection: close\r\n' \
            "$method" "$path" "$port"
        for header in "$@"; do
            printf '%s\r\n' "$header"
        done
        [ -z "$body" ] || printf 'Content-Type: application/json\r\n'
        printf 'Content-Length: %s\r\n\r\n%s' "${#body}" "$body"
    } >&3
    cat <&3
    exec 3>&-
}

# lw_is_ok PORT METHOD PATH [BODY [HEADER...]]: whether the answer's status is 200.
lw_is_ok() {
    [[ $(lw_http "$@" | head -n 1) == "HTTP/1.1 200"* ]]
}
