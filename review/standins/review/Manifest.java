package review;

/** The manifest of the cases: one plain service, one service of model workers. */
public final class Manifest {
    public static final String KEY = "n2ctnfzs989anu6wsjnb";
    public static final String HOST = "ficu95.example";

    private Manifest() {}

    /** Returns a manifest of a version, like the example in PROTOCOL.md. */
    public static String of(long version) {
        return of(version, 1000, 5000);
    }

    public static String of(long version, int plainTimeoutMs, int streamTimeoutMs) {
        return of(version, plainTimeoutMs, streamTimeoutMs, 4_194_304, "");
    }

    /**
     * Returns a manifest.
     *
     * @param maxBodyBytes the limit max_body_bytes
     * @param moreRoutes further routes, each with a comma before it, or empty
     */
    public static String of(
            long version, int plainTimeoutMs, int streamTimeoutMs, int maxBodyBytes, String moreRoutes) {
        return "{\"version\":" + version + ",\"routes\":["
                + route("r-unsafe", "/unsafe/", "unsafe", plainTimeoutMs, 150, "desk", 1, false) + ","
                + route("r-safe", "/safe/", "safe", plainTimeoutMs, 150, "desk", 2, false) + ","
                + route("r-stream", "/stream/", "streaming", streamTimeoutMs, 600, "clerk", 1, false) + ","
                + route("r-resume", "/resume/", "streaming", streamTimeoutMs, 500, "clerk", 2, true)
                + moreRoutes + "],\"services\":[{\"name\":\"clerk\",\"health_path\":\"/health\",\"max_conns\":370,"
                + "\"protocol\":\"h1\",\"tls\":false,\"engine\":{\"slots\":64,\"kv_capacity\":314298,"
                + "\"kv_token_bytes\":163840,\"link_mbps\":2200000.0,\"moves\":true,\"backups\":true,"
                + "\"stride\":5,\"most\":2,\"pin_ms\":4000.0,\"hold_ms\":2000.0,\"handle_s\":5.0,"
                + "\"models\":[{\"name\":\"m\"}]}},"
                + "{\"name\":\"desk\",\"health_path\":\"/health\",\"max_conns\":110,\"protocol\":\"h1\",\"tls\":false}],"
                + "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":" + maxBodyBytes + ","
                + "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},"
                + "\"tenants\":[{\"name\":\"hule930\",\"api_keys\":[\"" + KEY + "\"],\"priority\":1}]}";
    }

    static String route(
            String name,
            String prefix,
            String kind,
            int timeoutMs,
            int targetMs,
            String service,
            int attempts,
            boolean resumable) {
        return "{\"name\":\"" + name + "\",\"host\":\"" + HOST + "\",\"path_prefix\":\"" + prefix
                + "\",\"kind\":\"" + kind + "\",\"timeout_ms\":" + timeoutMs
                + ",\"target_latency_ms\":" + targetMs + ",\"priority\":1,\"service\":\"" + service
                + "\",\"max_attempts\":" + attempts + ",\"public\":false,\"sticky\":"
                + kind.equals("streaming") + ",\"resumable\":" + resumable + ",\"target_gap_ms\":400}";
    }
}
