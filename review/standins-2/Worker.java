import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;

/** A worker of a plain service. It reports its status about every 1.2 s. */
class Worker {
    /** A request that began to run here, and when it arrived, in ms of the steady clock. */
    record Run(String id, long arrivedAt, String path, String tenant) {}

    static final int HEARTBEAT_MILLIS = 1200;

    final String id;
    final String service;
    final String zone;
    final int slots;
    final int workMillis;
    final List<Run> runs = new CopyOnWriteArrayList<>();
    final AtomicInteger running = new AtomicInteger();
    final Set<Socket> open = ConcurrentHashMap.newKeySet();
    volatile String state = "ready";
    volatile boolean beats = true;
    volatile boolean ended;
    private final AtomicInteger mSeq = new AtomicInteger();
    private final ServerSocket mServer;
    private final List<String> mControls;
    private volatile int mNext;

    Worker(String id, String service, String zone, int slots, int workMillis, List<String> controls)
            throws IOException {
        this.id = id;
        this.service = service;
        this.zone = zone;
        this.slots = slots;
        this.workMillis = workMillis;
        mControls = controls;
        mNext = Math.floorMod(id.hashCode(), controls.size());
        mServer = new ServerSocket(0, 256, InetAddress.getByName("127.0.0.1"));
        daemon(this::accept);
    }

    static long now() {
        return System.nanoTime() / 1_000_000;
    }

    static Thread daemon(Runnable r) {
        Thread t = new Thread(r);
        t.setDaemon(true);
        t.start();
        return t;
    }

    static void sleep(long millis) {
        try {
            Thread.sleep(Math.max(0, millis));
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    String address() {
        return "127.0.0.1:" + mServer.getLocalPort();
    }

    void startBeats() {
        daemon(
                () -> {
                    while (!ended) {
                        if (beats) {
                            report();
                        }
                        sleep(HEARTBEAT_MILLIS);
                    }
                });
    }

    /** Sends a status report to the control instances in turn until one acknowledges it. */
    boolean report() {
        String body =
                ("{\"service\":\"%s\",\"address\":\"%s\",\"zone\":\"%s\",\"version\":\"v1\","
                                + "\"slots\":%d,\"state\":\"%s\",\"cold_left_ms\":0,\"seq\":%d}")
                        .formatted(
                                service,
                                address(),
                                zone,
                                slots,
                                state,
                                mSeq.incrementAndGet());
        return order("PUT", body);
    }

    /** Withdraws; returns whether a control instance acknowledged that. */
    boolean withdraw() {
        return order("DELETE", "");
    }

    private boolean order(String method, String body) {
        for (int i = 0; i < mControls.size(); i++) {
            String control = mControls.get(mNext % mControls.size());
            Http.Message m = Http.controlCall(control, method, "/-/instances/" + id, body);
            if (m != null && m.status() / 100 == 2) {
                return true;
            }
            mNext++;
        }
        return false;
    }

    private void accept() {
        while (!ended) {
            try {
                Socket s = mServer.accept();
                s.setTcpNoDelay(true);
                open.add(s);
                daemon(() -> serve(s));
            } catch (IOException e) {
                return;
            }
        }
    }

    private void serve(Socket s) {
        try (s) {
            for (Http.Message r = Http.read(s.getInputStream(), false);
                    r != null;
                    r = Http.read(s.getInputStream(), false)) {
                answer(r, s);
            }
        } catch (IOException e) {
            // The caller left.
        } finally {
            open.remove(s);
        }
    }

    void answer(Http.Message r, Socket s) throws IOException {
        String target = r.header("x-laurelweir-target-instance");
        if (!target.isEmpty() && !target.equals(id)) {
            write(s, r, 421, "X-Laurelweir-Not-Executed: 1\r\n", "");
            return;
        }
        if (running.incrementAndGet() > slots) {
            running.decrementAndGet();
            write(s, r, 503, "X-Laurelweir-Not-Executed: 1\r\n", "");
            return;
        }
        String path = r.line().split(" ")[1];
        runs.add(
                new Run(
                        r.header("x-laurelweir-request-id"),
                        now(),
                        path,
                        r.header("x-laurelweir-tenant")));
        try {
            sleep(workMillis);
        } finally {
            running.decrementAndGet();
        }
        write(s, r, 200, "", "done by " + id);
    }

    void write(Socket s, Http.Message r, int status, String headers, String body)
            throws IOException {
        String load = running.get() + ",0," + slots;
        String head =
                "HTTP/1.1 " + status + " X\r\nX-Laurelweir-Request-Id: "
                        + r.header("x-laurelweir-request-id")
                        + (status / 100 == 2
                                ? "\r\nX-Laurelweir-Response-Seal: seal-" + id
                                : "")
                        + "\r\nX-Laurelweir-Server-Load: " + load
                        + "\r\nKeep-Alive: timeout=10\r\n" + headers
                        + "Content-Length: " + body.length() + "\r\n\r\n" + body;
        OutputStream out = s.getOutputStream();
        out.write(head.getBytes(StandardCharsets.ISO_8859_1));
        out.flush();
    }

    /** Ends the worker: its channels close. */
    void end() {
        ended = true;
        try {
            mServer.close();
            for (Socket s : open) {
                s.close();
            }
        } catch (IOException e) {
            // It ends anyway.
        }
    }
}
