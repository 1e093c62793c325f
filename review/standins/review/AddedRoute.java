package review;

import java.util.ArrayList;
import java.util.List;

/**
 * The manifest changes: a new version adds a route with the prefix /v1/. Clients with a valid key
 * then ask for paths below it. Without the disruption, the same paths lie below a prefix of another
 * name.
 */
public final class AddedRoute {
    private static final int MACHINES = 3;
    private static final int ROUNDS = 6;
    private static final int DEADLINE_MS = 1000;
    private static final int CONFIG_APPLY_MS = 2000;

    private AddedRoute() {}

    public static void main(String[] args) {
        Case.run(args, AddedRoute::run);
    }

    private static int run(Record record, Fleet fleet, boolean trouble) throws Exception {
        String prefix = trouble ? "/v1/" : "/v2/";
        fleet.startAll();
        fleet.configure(Manifest.of(1));
        for (int i = 0; i < MACHINES; i++) {
            new Worker(
                    fleet,
                    "desk",
                    "zone-" + i,
                    6,
                    (w, r, s, out) -> {
                        record.line("worker %s runs %s %s %s", w.id, r.id(), r.method(), r.target());
                        Thread.sleep(30);
                        Worker.answer(out, r, 200, "done " + r.id());
                    });
        }
        Case.awaitInTouch(fleet);
        String added = "," + Manifest.route("r-added", prefix, "safe", DEADLINE_MS, 150, "desk", 2, false);
        fleet.configure(Manifest.of(2, DEADLINE_MS, 5000, 4_194_304, added));
        record.line("operator: version 2 with the route %s is acknowledged", prefix);
        Thread.sleep(2 * CONFIG_APPLY_MS);
        List<String> refused = new ArrayList<>();
        int requests = 0;
        for (int i = 0; i < ROUNDS * MACHINES; i++) {
            for (String path : List.of("catalogue", "models")) {
                for (String method : List.of("GET", "POST")) {
                    String id = method + "-" + path + "-" + i;
                    requests++;
                    try (Client c = new Client(fleet.front(i % MACHINES))) {
                        Http.Answer a = c.ask(method, prefix + path, id, DEADLINE_MS, new byte[0]);
                        String status = a == null ? "closed" : a.status() + " " + a.text();
                        record.line("client sent %s %s as %s to router %d: %s", method, prefix + path, id, i % MACHINES, status);
                        boolean own = a != null && a.header("X-Laurelweir-Response-Seal").isEmpty();
                        if (own && a.status() / 100 == 4) {
                            refused.add(id + " " + a.status());
                        }
                    }
                }
            }
        }
        record.line("%d of %d proper requests were refused: %s", refused.size(), requests, refused);
        boolean as401To404 = refused.stream().anyMatch(r -> r.matches(".* 40[134]"));
        return as401To404 ? 1 : 0;
    }
}
