/** Manifests of the operator, and calls that send them. */
final class Manifest {
    static final String HOST = "desk.example";
    static final String KEY = "n2ctnfzs989anu6wsjnb";

    private Manifest() {}

    static String limits() {
        return "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,"
                + "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}";
    }

    static String route(String name, String prefix, String kind, String service, int attempts) {
        return ("{\"name\":\"%s\",\"host\":\"%s\",\"path_prefix\":\"%s\",\"kind\":\"%s\","
                        + "\"timeout_ms\":1500,\"target_latency_ms\":193,\"priority\":1,"
                        + "\"service\":\"%s\",\"max_attempts\":%d,\"public\":false,"
                        + "\"sticky\":false,\"resumable\":false}")
                .formatted(name, HOST, prefix, kind, service, attempts);
    }

    static String service(String name) {
        return ("{\"name\":\"%s\",\"health_path\":\"/health\",\"max_conns\":130,"
                        + "\"protocol\":\"h1\",\"tls\":false}")
                .formatted(name);
    }

    static String tenant(String name, String... keys) {
        return "{\"name\":\"" + name + "\",\"api_keys\":[\"" + String.join("\",\"", keys)
                + "\"],\"priority\":1}";
    }

    static String of(int version, String routes, String services, String tenants) {
        return "{\"version\":" + version + ",\"routes\":[" + routes + "],\"services\":[" + services
                + "]," + limits() + ",\"tenants\":[" + tenants + "]}";
    }

    /** Sends a manifest until it is acknowledged; returns when, or -1 after a time limit. */
    static long send(Fleet fleet, String manifest, long millis) {
        long end = Worker.now() + millis;
        for (int i = 0; Worker.now() < end; i++) {
            Fleet.Machine m = fleet.controls().get(i % fleet.controls().size());
            Http.Message a = Http.controlCall(m.controlAddress(), "PUT", "/-/config", manifest);
            if (a != null && a.status() == 200) {
                return Worker.now();
            }
            Worker.sleep(50);
        }
        return -1;
    }
}
