import java.io.IOException;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ThreadLocalRandom;

/** Clients: each request goes out on a channel of its own, to a machine that is in rotation. */
final class Client {
    /** A request with what came of it. The status is 0 without a whole answer. */
    record Sent(
            String id, String path, String machine, long at, long endedAt, int status, String by) {}

    final ConcurrentLinkedQueue<Sent> sent = new ConcurrentLinkedQueue<>();
    final List<Fleet.Machine> machines;
    final String host;
    private volatile boolean mEnds;
    private volatile int mDeadlineMillis = 1500;

    Client(List<Fleet.Machine> machines, String host) {
        this.machines = machines;
        this.host = host;
    }

    static String newId() {
        return Long.toHexString(ThreadLocalRandom.current().nextLong());
    }

    /** Sends one request and waits for its answer. */
    Sent send(Fleet.Machine m, String path, String key, String more, int millis) {
        String id = newId();
        long at = Worker.now();
        int status = 0;
        String by = "";
        try (Socket s = Http.connect(m.front(), 1000)) {
            s.setSoTimeout(millis + 500);
            String headers =
                    "X-Laurelweir-Request-Id: " + id
                            + "\r\nX-Laurelweir-Request-Deadline-Ms: " + millis + "\r\n"
                            + (key.isEmpty() ? "" : "Authorization: Token " + key + "\r\n") + more;
            Http.send(s, host, "POST", path, headers, "order");
            Http.Message a = Http.read(s.getInputStream(), true);
            if (a != null) {
                status = a.status();
                by = a.header("x-laurelweir-response-seal");
            }
        } catch (IOException e) {
            // Status 0: no whole answer.
        }
        Sent result = new Sent(id, path, m.ip, at, Worker.now(), status, by);
        sent.add(result);
        return result;
    }

    /** Sends requests to all machines in turn at a rate; an @ in the path is their number. */
    void startLoad(String path, String key, int perSecond) {
        Worker.daemon(
                () -> {
                    long next = Worker.now();
                    for (int i = 0; !mEnds; i++) {
                        Fleet.Machine m = machines.get(i % machines.size());
                        String asked = path.replace("@", String.valueOf(i));
                        Worker.daemon(() -> send(m, asked, key, "", mDeadlineMillis));
                        next += 1000 / perSecond;
                        Worker.sleep(next - Worker.now());
                    }
                });
    }

    void end() {
        mEnds = true;
    }
}
