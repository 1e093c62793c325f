package review;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

/**
 * The manifest changes: a new version raises max_body_bytes. Clients then send larger requests on
 * the channels that they have kept since before the change. Without the disruption, the limit is as
 * large from the beginning.
 */
public final class RaisedLimit {
    private static final int MACHINES = 3;
    private static final int CLIENTS_PER_MACHINE = 10;
    private static final int OLD_LIMIT = 1 << 20;
    private static final int NEW_LIMIT = 4 << 20;

    /** Above the old limit, and less than half of the new one. */
    private static final int BODY_BYTES = 1_500_000;

    private static final int DEADLINE_MS = 3000;
    private static final int CONFIG_APPLY_MS = 2000;

    /** DENIED: more than 5 + one in 500 of all requests. */
    private static final int ALLOWED_DENIED = 5;

    private static final int SHARE_DIVISOR = 500;

    private static int sRequests;
    private static final List<String> sDenied = new ArrayList<>();

    private RaisedLimit() {}

    public static void main(String[] args) {
        Case.run(args, RaisedLimit::run);
    }

    private static int run(Record record, Fleet fleet, boolean trouble) throws Exception {
        fleet.startAll();
        fleet.configure(Manifest.of(1, DEADLINE_MS, DEADLINE_MS, trouble ? OLD_LIMIT : NEW_LIMIT, ""));
        for (int i = 0; i < MACHINES; i++) {
            new Worker(
                    fleet,
                    "desk",
                    "zone-" + i,
                    6,
                    (w, r, s, out) -> {
                        Thread.sleep(30);
                        Worker.answer(out, r, 200, "done " + r.id());
                    });
        }
        Case.awaitInTouch(fleet);
        List<Client> clients = new ArrayList<>();
        for (int i = 0; i < MACHINES * CLIENTS_PER_MACHINE; i++) {
            clients.add(new Client(fleet.front(i % MACHINES)));
        }
        askAll(record, fleet, clients, "before", 600);
        if (trouble) {
            fleet.configure(Manifest.of(2, DEADLINE_MS, DEADLINE_MS, NEW_LIMIT, ""));
            record.line("operator: version 2 with max_body_bytes %d is acknowledged", NEW_LIMIT);
        }
        // Twice config_apply_ms: no earlier version may be in force any more.
        Thread.sleep(2 * CONFIG_APPLY_MS);
        askAll(record, fleet, clients, "small", 600);
        askAll(record, fleet, clients, "large", BODY_BYTES);
        int allowed = ALLOWED_DENIED + sRequests / SHARE_DIVISOR;
        record.line("%d of %d requests were denied: %s; allowed are %d", sDenied.size(), sRequests, sDenied, allowed);
        return sDenied.size() > allowed ? 1 : 0;
    }

    private static void askAll(Record record, Fleet fleet, List<Client> clients, String name, int bytes)
            throws IOException {
        for (int i = 0; i < clients.size(); i++) {
            String id = name + "-" + i;
            sRequests++;
            try {
                Http.Answer a = clients.get(i).ask("POST", "/unsafe/x", id, DEADLINE_MS, new byte[bytes]);
                String status = a == null ? "closed without an answer" : Integer.toString(a.status());
                record.line("client %d at router %d sent %s with %d bytes: %s", i, i % MACHINES, id, bytes, status);
                if (a != null && a.status() / 100 == 4 && a.status() != 408 && a.status() != 421 && a.status() != 429) {
                    sDenied.add(id + " " + a.status());
                }
                if (a == null || a.header("Connection").equalsIgnoreCase("close")) {
                    clients.set(i, new Client(fleet.front(i % MACHINES)));
                }
            } catch (IOException e) {
                record.line("client %d at router %d sent %s: %s", i, i % MACHINES, id, e.getMessage());
                clients.set(i, new Client(fleet.front(i % MACHINES)));
            }
        }
    }
}
