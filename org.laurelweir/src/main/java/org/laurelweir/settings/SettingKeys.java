package org.laurelweir.settings;

import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** Every key of the settings tree. */
public final class SettingKeys {
    private static final List<SettingKey<?>> KEYS = new ArrayList<>();
    private static final Map<String, SettingKey<?>> BY_NAME = new LinkedHashMap<>();

    public static final SettingKey<Double> BOUND_FACTOR =
            add(
                    SettingKey.builder("bound.factor", SettingType.NUMBER)
                            .defaultsTo("1.25")
                            .range("1.05", "10")
                            .downTo(Level.SERVICE)
                            .doc(
                                    "Running work beside a backend server may reach this"
                                            + " multiple of the service's mean."));

    public static final SettingKey<Integer> QUEUE_MAX_REQUESTS =
            add(
                    SettingKey.builder("queue.max-requests", SettingType.COUNT)
                            .defaultsTo("64")
                            .range("0", "100000")
                            .downTo(Level.SERVICE)
                            .doc("Most requests that wait beside one backend server."));

    public static final SettingKey<ByteSize> QUEUE_MAX_BYTES =
            add(
                    SettingKey.builder("queue.max-bytes", SettingType.SIZE)
                            .defaultsTo("16MiB")
                            .range("0B", "1GiB")
                            .downTo(Level.SERVICE)
                            .doc("Most bytes of bodies that wait beside one backend server."));

    public static final SettingKey<Duration> QUEUE_MAX_AGE =
            add(
                    SettingKey.builder("queue.max-age", SettingType.DURATION)
                            .defaultsTo("2s")
                            .range("0s", "1m")
                            .downTo(Level.SERVICE)
                            .doc(
                                    "Longest time that a request waits before it is answered"
                                            + " as not run."));

    public static final SettingKey<Duration> DEADLINE_DEFAULT =
            add(
                    SettingKey.builder("deadline.default", SettingType.DURATION)
                            .defaultsTo("1m")
                            .range("100ms", "1h")
                            .doc(
                                    "Time for the whole answer where the caller names none; at"
                                            + " most deadline.max counts."));

    public static final SettingKey<Duration> DEADLINE_MAX =
            add(
                    SettingKey.builder("deadline.max", SettingType.DURATION)
                            .defaultsTo("10m")
                            .range("100ms", "1h")
                            .doc("Longest time that a caller may ask for."));

    public static final SettingKey<Double> ACCOUNT_WEIGHT =
            add(
                    SettingKey.builder("account.weight", SettingType.NUMBER)
                            .defaultsTo("1")
                            .range("0.01", "1000")
                            .doc(
                                    "Share of a client account when accounts compete for a"
                                            + " backend server."));

    public static final SettingKey<Integer> ACCOUNT_MAX_RUNNING =
            add(
                    SettingKey.builder("account.max-running", SettingType.COUNT)
                            .defaultsTo("1000000")
                            .range("0", "1000000")
                            .doc(
                                    "Most requests of a client account in flight in the"
                                            + " deployment."));

    public static final SettingKey<Double> ACCOUNT_RATE =
            add(
                    SettingKey.builder("account.rate", SettingType.NUMBER)
                            .defaultsTo("1000000")
                            .range("0", "1000000")
                            .doc(
                                    "Requests a second that a client account may start in the"
                                            + " deployment."));

    public static final SettingKey<List<String>> ACCOUNT_KEY_DIGESTS =
            add(
                    SettingKey.builder("account.key-digests", SettingType.DIGESTS)
                            .defines(Level.ACCOUNT)
                            .doc(
                                    "SHA-256 digests of the bearer keys that name the client"
                                            + " account."));

    public static final SettingKey<List<String>> ACCOUNT_ALLOWED_REGIONS =
            add(
                    SettingKey.builder("account.allowed-regions", SettingType.NAMES)
                            .defines(Level.ACCOUNT)
                            .doc(
                                    "Regions whose backend servers may run the client account's"
                                            + " routed requests; those of the route hold, too."
                                            + " Every one if absent."));

    public static final SettingKey<Integer> ACCOUNT_PRIORITY =
            add(
                    SettingKey.builder("account.priority", SettingType.COUNT)
                            .defaultsTo("-1")
                            .range("-1", "9")
                            .defines(Level.ACCOUNT)
                            .doc(
                                    "Priority of the client account's routed requests,"
                                            + " before that of the route; -1 for none."));

    public static final SettingKey<String> SERVICE_KIND =
            add(
                    SettingKey.builder(
                                    "service.kind", SettingType.oneOf("model", "plain", "routed"))
                            .defaultsTo("model")
                            .defines(Level.SERVICE)
                            .doc(
                                    "model: reached by the name of a model; plain: reached"
                                            + " under service.path-prefix; routed: reached by"
                                            + " routes, and called without sidecars."));

    public static final SettingKey<List<String>> SERVICE_MODELS =
            add(
                    SettingKey.builder("service.models", SettingType.NAMES)
                            .defines(Level.SERVICE)
                            .doc(
                                    "Models that the service answers for; each belongs to one"
                                            + " service."));

    public static final SettingKey<String> SERVICE_PATH_PREFIX =
            add(
                    SettingKey.builder("service.path-prefix", SettingType.PREFIX)
                            .defines(Level.SERVICE)
                            .doc(
                                    "Path under which a plain service is reached; the longest"
                                            + " one that fits wins."));

    public static final SettingKey<List<CallPattern>> SERVICE_IDEMPOTENT_CALLS =
            add(
                    SettingKey.builder("service.idempotent-calls", SettingType.CALLS)
                            .defines(Level.SERVICE)
                            .doc(
                                    "Calls that may be repeated although their method says"
                                            + " otherwise."));

    public static final SettingKey<List<CallPattern>> SERVICE_NON_IDEMPOTENT_CALLS =
            add(
                    SettingKey.builder("service.non-idempotent-calls", SettingType.CALLS)
                            .defines(Level.SERVICE)
                            .doc(
                                    "Calls that may not be repeated whatever their method"
                                            + " says; wins over service.idempotent-calls."));

    public static final SettingKey<Integer> SERVICE_OUTPUT_TOKENS =
            add(
                    SettingKey.builder("service.output-tokens", SettingType.COUNT)
                            .defaultsTo("256")
                            .range("1", "1000000")
                            .downTo(Level.SERVICE)
                            .doc(
                                    "Tokens that an answer is expected to have where the"
                                            + " caller sets no limit."));

    public static final SettingKey<Integer> SERVICE_CACHE_TOKENS =
            add(
                    SettingKey.builder("service.cache-tokens", SettingType.COUNT)
                            .defaultsTo("1000000")
                            .range("1", "1000000000")
                            .downTo(Level.SERVICE)
                            .doc(
                                    "Tokens of histories that one backend server keeps cached;"
                                            + " too many count evicted histories as cached."));

    public static final SettingKey<Integer> SERVICE_CONNECTIONS =
            add(
                    SettingKey.builder("service.connections", SettingType.COUNT)
                            .defaultsTo("1000")
                            .range("1", "1000000")
                            .defines(Level.SERVICE)
                            .doc(
                                    "Most connections that one backend server takes from"
                                            + " all callers together."));

    public static final SettingKey<Integer> SERVICE_SLOTS =
            add(
                    SettingKey.builder("service.slots", SettingType.COUNT)
                            .defaultsTo("0")
                            .range("0", "100000")
                            .defines(Level.SERVICE)
                            .doc(
                                    "Requests that one engine of a routed service runs at"
                                            + " once; 0 for a service without engines."));

    public static final SettingKey<Double> SERVICE_SLOW_START_RATE =
            add(
                    SettingKey.builder("service.slow-start-rate", SettingType.NUMBER)
                            .defaultsTo("0")
                            .range("0", "1000000")
                            .defines(Level.SERVICE)
                            .doc(
                                    "Requests a second that one backend server of a routed"
                                            + " service takes while it announces that it is in"
                                            + " slow start; 0 for no limit."));

    public static final SettingKey<String> CHAT_HEADER =
            add(
                    SettingKey.builder("chat.header", SettingType.TOKEN_NAME)
                            .defaultsTo("X-Chat-Id")
                            .downTo(Level.ACCOUNT)
                            .doc("Request header that names the chat; looked at first."));

    public static final SettingKey<String> CHAT_FIELD =
            add(
                    SettingKey.builder("chat.field", SettingType.TOKEN_NAME)
                            .defaultsTo("prompt_cache_key")
                            .downTo(Level.ACCOUNT)
                            .doc(
                                    "Field of the request body that names the chat; looked at"
                                            + " second."));

    public static final SettingKey<Integer> CHAT_PREFIX_MESSAGES =
            add(
                    SettingKey.builder("chat.prefix-messages", SettingType.COUNT)
                            .defaultsTo("2")
                            .range("1", "32")
                            .downTo(Level.ACCOUNT)
                            .doc(
                                    "Leading messages that name a chat where neither header"
                                            + " nor field does."));

    public static final SettingKey<Integer> RETRY_MAX_ATTEMPTS =
            add(
                    SettingKey.builder("retry.max-attempts", SettingType.COUNT)
                            .defaultsTo("3")
                            .range("1", "10")
                            .doc("Most attempts at one request, the first included."));

    public static final SettingKey<Double> RETRY_BUDGET_SHARE =
            add(
                    SettingKey.builder("retry.budget-share", SettingType.NUMBER)
                            .defaultsTo("0.1")
                            .range("0", "1")
                            .downTo(Level.SERVICE)
                            .doc(
                                    "Retries that a router may add, as a share of its first"
                                            + " attempts."));

    public static final SettingKey<Duration> RETRY_BACKOFF_MIN =
            add(
                    SettingKey.builder("retry.backoff-min", SettingType.DURATION)
                            .defaultsTo("10ms")
                            .range("0s", "1m")
                            .doc("Shortest wait before a retry."));

    public static final SettingKey<Duration> RETRY_BACKOFF_MAX =
            add(
                    SettingKey.builder("retry.backoff-max", SettingType.DURATION)
                            .defaultsTo("500ms")
                            .range("0s", "5m")
                            .doc(
                                    "Longest wait before a retry; at least retry.backoff-min"
                                            + " counts."));

    public static final SettingKey<Integer> EJECTION_FAILURES =
            add(
                    SettingKey.builder("ejection.failures", SettingType.COUNT)
                            .defaultsTo("3")
                            .range("1", "1000")
                            .downTo(Level.SERVICE)
                            .doc(
                                    "Consecutive failures after which a router passes over a"
                                            + " backend server."));

    public static final SettingKey<Duration> EJECTION_COOLDOWN =
            add(
                    SettingKey.builder("ejection.cooldown", SettingType.DURATION)
                            .defaultsTo("2s")
                            .range("100ms", "2m")
                            .downTo(Level.SERVICE)
                            .doc(
                                    "How long the first ejection lasts; each further one"
                                            + " doubles it, up to two minutes."));

    public static final SettingKey<Double> EJECTION_MAX_SHARE =
            add(
                    SettingKey.builder("ejection.max-share", SettingType.NUMBER)
                            .defaultsTo("0.1")
                            .range("0", "1")
                            .downTo(Level.SERVICE)
                            .doc(
                                    "Share of a service's backend servers that a router may"
                                            + " pass over at once."));

    public static final SettingKey<ByteSize> LIMIT_BODY_BYTES =
            add(
                    SettingKey.builder("limit.body-bytes", SettingType.SIZE)
                            .defaultsTo("4MiB")
                            .range("1KiB", "256MiB")
                            .downTo(Level.DATA_CENTRE)
                            .doc("Largest request body."));

    public static final SettingKey<ByteSize> LIMIT_HEADER_BYTES =
            add(
                    SettingKey.builder("limit.header-bytes", SettingType.SIZE)
                            .defaultsTo("16KiB")
                            .range("1KiB", "1MiB")
                            .downTo(Level.DATA_CENTRE)
                            .doc(
                                    "Largest sum of a request's header lines; bounds its first"
                                            + " line and trailers too."));

    public static final SettingKey<Integer> LIMIT_CONNECTIONS =
            add(
                    SettingKey.builder("limit.connections", SettingType.COUNT)
                            .defaultsTo("10000")
                            .range("1", "1000000")
                            .downTo(Level.DATA_CENTRE)
                            .doc("Most connections of callers to one router."));

    public static final SettingKey<Duration> LIMIT_REQUEST_TIME =
            add(
                    SettingKey.builder("limit.request-time", SettingType.DURATION)
                            .defaultsTo("30s")
                            .range("100ms", "10m")
                            .downTo(Level.DATA_CENTRE)
                            .doc("Longest time that a caller may take to send a request."));

    public static final SettingKey<Duration> LIMIT_IDLE_TIME =
            add(
                    SettingKey.builder("limit.idle-time", SettingType.DURATION)
                            .defaultsTo("30s")
                            .range("100ms", "1h")
                            .downTo(Level.DATA_CENTRE)
                            .doc("How long a connection of a caller may stay without a request."));

    public static final SettingKey<Duration> STREAM_SILENCE =
            add(
                    SettingKey.builder("stream.silence", SettingType.DURATION)
                            .defaultsTo("2s")
                            .range("100ms", "1m")
                            .downTo(Level.SERVICE)
                            .doc(
                                    "Longest time without a frame before a router takes a"
                                            + " connection as lost; several times"
                                            + " stream.progress-interval."));

    public static final SettingKey<Duration> STREAM_PROGRESS_INTERVAL =
            add(
                    SettingKey.builder("stream.progress-interval", SettingType.DURATION)
                            .defaultsTo("500ms")
                            .range("10ms", "10s")
                            .downTo(Level.SERVICE)
                            .doc(
                                    "Longest time that a sidecar leaves a stream without a"
                                            + " frame."));

    public static final SettingKey<ByteSize> OUTPUT_KEEP_BYTES =
            add(
                    SettingKey.builder("output.keep-bytes", SettingType.SIZE)
                            .defaultsTo("64MiB")
                            .range("0B", "1GiB")
                            .downTo(Level.SERVICE)
                            .doc(
                                    "Most bytes of output that a sidecar keeps for routers"
                                            + " that lost their connection."));

    public static final SettingKey<Duration> OUTPUT_KEEP_TIME =
            add(
                    SettingKey.builder("output.keep-time", SettingType.DURATION)
                            .defaultsTo("30s")
                            .range("0s", "10m")
                            .downTo(Level.SERVICE)
                            .doc("How long a sidecar keeps output that nobody follows."));

    public static final SettingKey<Duration> CLAIM_RETENTION =
            add(
                    SettingKey.builder("claim.retention", SettingType.DURATION)
                            .defaultsTo("15m")
                            .range("1m", "7d")
                            .doc(
                                    "How long past its deadline a claim on an idempotency key"
                                            + " holds."));

    public static final SettingKey<Integer> PRIORITY_DEFAULT =
            add(
                    SettingKey.builder("priority.default", SettingType.COUNT)
                            .defaultsTo("5")
                            .range("0", "9")
                            .doc("Priority where the caller names none; 9 goes first."));

    public static final SettingKey<Duration> DRAIN_TIMEOUT =
            add(
                    SettingKey.builder("drain.timeout", SettingType.DURATION)
                            .defaultsTo("10m")
                            .range("1s", "1d")
                            .downTo(Level.SERVICE)
                            .doc(
                                    "How long running requests may take once their backend"
                                            + " server drains."));

    public static final SettingKey<Duration> MEMBERSHIP_DAMPING =
            add(
                    SettingKey.builder("membership.damping", SettingType.DURATION)
                            .defaultsTo("10s")
                            .range("0s", "10m")
                            .downTo(Level.SERVICE)
                            .doc(
                                    "How long a backend server that flaps must hold before it"
                                            + " takes new work again."));

    public static final SettingKey<List<String>> MATCH_METHOD =
            add(
                    SettingKey.builder("match.method", SettingType.NAMES)
                            .only(Level.RULE)
                            .doc("Methods to which the rule applies; every one if absent."));

    public static final SettingKey<String> MATCH_PATH =
            add(
                    SettingKey.builder("match.path", SettingType.PATH)
                            .only(Level.RULE)
                            .doc(
                                    "Path pattern to which the rule applies; every path if"
                                            + " absent."));

    public static final SettingKey<List<String>> MATCH_MODEL =
            add(
                    SettingKey.builder("match.model", SettingType.NAMES)
                            .only(Level.RULE)
                            .doc("Models to which the rule applies; every one if absent."));

    public static final SettingKey<String> ROUTE_HOST =
            add(
                    SettingKey.builder("route.host", SettingType.HOST)
                            .defines(Level.ROUTE)
                            .doc("Host whose requests the route takes."));

    public static final SettingKey<String> ROUTE_PATH_PREFIX =
            add(
                    SettingKey.builder("route.path-prefix", SettingType.FOLDER)
                            .defines(Level.ROUTE)
                            .doc(
                                    "Beginning of the paths that the route takes; the"
                                            + " longest one that fits wins."));

    public static final SettingKey<List<RouteShare>> ROUTE_SHARES =
            add(
                    SettingKey.builder("route.shares", SettingType.SHARES)
                            .defines(Level.ROUTE)
                            .doc("Services that get the requests, each with its weight."));

    public static final SettingKey<Boolean> ROUTE_IDEMPOTENT =
            add(
                    SettingKey.builder("route.idempotent", SettingType.FLAG)
                            .defaultsTo("no")
                            .defines(Level.ROUTE)
                            .doc("Whether a request may run more than once."));

    public static final SettingKey<Boolean> ROUTE_STREAMED =
            add(
                    SettingKey.builder("route.streamed", SettingType.FLAG)
                            .defaultsTo("no")
                            .defines(Level.ROUTE)
                            .doc("Whether answers are streams of events."));

    public static final SettingKey<Boolean> ROUTE_RESUMABLE =
            add(
                    SettingKey.builder("route.resumable", SettingType.FLAG)
                            .defaultsTo("no")
                            .defines(Level.ROUTE)
                            .doc(
                                    "Whether a stream may go on at another backend server,"
                                            + " of the same software version, after its last whole"
                                            + " event."));

    public static final SettingKey<Boolean> ROUTE_PUBLIC =
            add(
                    SettingKey.builder("route.public", SettingType.FLAG)
                            .defaultsTo("no")
                            .defines(Level.ROUTE)
                            .doc("Whether requests need no key."));

    public static final SettingKey<Integer> ROUTE_MAX_ATTEMPTS =
            add(
                    SettingKey.builder("route.max-attempts", SettingType.COUNT)
                            .defaultsTo("1")
                            .range("1", "10")
                            .defines(Level.ROUTE)
                            .doc("Most backend servers that one request is sent to."));

    public static final SettingKey<Duration> ROUTE_TIMEOUT =
            add(
                    SettingKey.builder("route.timeout", SettingType.DURATION)
                            .defaultsTo("1m")
                            .range("1ms", "1h")
                            .defines(Level.ROUTE)
                            .doc("Longest time for the whole answer."));

    public static final SettingKey<Duration> ROUTE_OBJECTIVE =
            add(
                    SettingKey.builder("route.objective", SettingType.DURATION)
                            .defaultsTo("1s")
                            .range("0s", "1h")
                            .defines(Level.ROUTE)
                            .doc(
                                    "Time to the first piece of an answer, or to a whole"
                                            + " plain one, that counts as prompt."));

    public static final SettingKey<Duration> ROUTE_MAX_PAUSE =
            add(
                    SettingKey.builder("route.max-pause", SettingType.DURATION)
                            .defaultsTo("1s")
                            .range("0s", "1h")
                            .defines(Level.ROUTE)
                            .doc("Longest pause between events of a prompt stream."));

    public static final SettingKey<List<String>> ROUTE_ALLOWED_REGIONS =
            add(
                    SettingKey.builder("route.allowed-regions", SettingType.NAMES)
                            .defines(Level.ROUTE)
                            .doc(
                                    "Regions whose backend servers may run the requests; every"
                                            + " one if absent."));

    public static final SettingKey<Integer> ROUTE_PRIORITY =
            add(
                    SettingKey.builder("route.priority", SettingType.COUNT)
                            .defaultsTo("5")
                            .range("0", "9")
                            .defines(Level.ROUTE)
                            .doc("Priority of the requests; 9 goes first."));

    private SettingKeys() {}

    private static <T> SettingKey<T> add(SettingKey.Builder<T> builder) {
        SettingKey<T> key = builder.build(KEYS.size());
        KEYS.add(key);
        BY_NAME.put(key.name(), key);
        return key;
    }

    /** Returns every key, grouped by topic. */
    public static List<SettingKey<?>> all() {
        return List.copyOf(KEYS);
    }

    /**
     * Returns the key with a name.
     *
     * @param name the key's name, such as {@code queue.max-age}
     * @return the key, or empty if there is none
     */
    public static Optional<SettingKey<?>> find(String name) {
        return Optional.ofNullable(BY_NAME.get(name));
    }

    static int count() {
        return KEYS.size();
    }
}
