import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintWriter;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.List;

/**
 * Clients that read slowly, but without a pause, and well within their time limit and the route's
 * timeout. Do they get the whole answer of a sound worker?
 */
final class SlowReader {
    private static final int ANSWER_BYTES = 7 << 20;
    private static final int TIME_LIMIT_MILLIS = 12_000;

    /** Bytes that a slow client takes in each step of 50 ms: the whole answer takes some 10 s. */
    private static final int STEP_BYTES = 37_000;

    private static final int CLIENTS = 6;

    public static void main(String[] args) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        try (Fleet fleet = new Fleet(4, 0);
                PrintWriter record = new PrintWriter(Path.of(args[0]).toFile())) {
            int code = run(fleet, trouble, record);
            record.println("exit " + code);
            record.flush();
            fleet.close();
            System.exit(code);
        }
    }

    private static int run(Fleet fleet, boolean trouble, PrintWriter record) throws Exception {
        fleet.start();
        List<String> controls =
                fleet.controls().stream().map(Fleet.Machine::controlAddress).toList();
        String manifest =
                Manifest.of(
                        7,
                        Manifest.route("reports", "/reports/", "safe", "havnebok", 2)
                                .replace("\"timeout_ms\":1500", "\"timeout_ms\":12000"),
                        Manifest.service("havnebok"),
                        Manifest.tenant("broker", Manifest.KEY));
        if (Manifest.send(fleet, manifest, 20_000) < 0) {
            return 2;
        }
        for (int i = 0; i < 3; i++) {
            new Worker("i-" + Client.newId(), "havnebok", "zone-" + i, 6, 43, controls) {
                @Override
                void write(Socket s, Http.Message r, int status, String headers, String body)
                        throws IOException {
                    if (status != 200 || !r.line().contains("/reports/large")) {
                        super.write(s, r, status, headers, body);
                        return;
                    }
                    String head =
                            "HTTP/1.1 200 OK\r\nX-Laurelweir-Request-Id: "
                                    + r.header("x-laurelweir-request-id")
                                    + "\r\nX-Laurelweir-Response-Seal: seal-" + id
                                    + "\r\nKeep-Alive: timeout=10\r\nContent-Length: "
                                    + ANSWER_BYTES + "\r\n\r\n";
                    OutputStream out = s.getOutputStream();
                    out.write(head.getBytes(StandardCharsets.ISO_8859_1));
                    out.write(new byte[ANSWER_BYTES]);
                    out.flush();
                    record.println("worker " + id + " has written the whole answer to "
                            + r.header("x-laurelweir-request-id"));
                }
            }.startBeats();
        }
        Worker.sleep(6000);
        int whole = 0;
        int cut = 0;
        for (int i = 0; i < CLIENTS; i++) {
            Fleet.Machine m = fleet.machines.get(i % fleet.machines.size());
            long start = Worker.now();
            long bytes = ask(m, trouble, record);
            long took = Worker.now() - start;
            record.println("client " + i + " at " + m.ip + ": " + bytes + " of " + ANSWER_BYTES
                    + " bytes of the body after " + took + " ms");
            if (bytes == ANSWER_BYTES) {
                whole++;
            } else if (bytes < 0) {
                return 2;
            } else if (took < TIME_LIMIT_MILLIS) {
                cut++;
            }
        }
        System.out.println(whole + " whole answers, " + cut + " cut before the time limit");
        // The rule is broken if it happens more than three times.
        return cut > 3 ? 1 : 0;
    }

    /** Sends two requests on a kept channel; returns how much came of the second one's body. */
    private static long ask(Fleet.Machine m, boolean slow, PrintWriter record) throws IOException {
        try (Socket s = new Socket()) {
            if (slow) {
                s.setReceiveBufferSize(32 << 10);
            }
            s.connect(new InetSocketAddress(m.ip, Integer.parseInt(m.front().split(":")[1])), 1000);
            s.setSoTimeout(TIME_LIMIT_MILLIS);
            Http.send(s, Manifest.HOST, "POST", "/reports/small", headers(Client.newId()), "q");
            Http.Message first = Http.read(s.getInputStream(), true);
            if (first == null || first.status() != 200) {
                return -1;
            }
            String id = Client.newId();
            record.println("sent " + id + " on a kept channel");
            Http.send(s, Manifest.HOST, "POST", "/reports/large", headers(id), "q");
            return read(s.getInputStream(), slow);
        }
    }

    private static String headers(String id) {
        return "X-Laurelweir-Request-Id: " + id + "\r\nX-Laurelweir-Request-Deadline-Ms: "
                + TIME_LIMIT_MILLIS + "\r\nAuthorization: Token " + Manifest.KEY + "\r\n";
    }

    /** Reads an answer's head, and then its body as slowly as the client is. */
    private static long read(InputStream in, boolean slow) throws IOException {
        StringBuilder head = new StringBuilder();
        while (head.indexOf("\r\n\r\n") < 0) {
            int b = in.read();
            if (b < 0) {
                return 0;
            }
            head.append((char) b);
        }
        if (!head.toString().startsWith("HTTP/1.1 200")) {
            return -1;
        }
        long total = 0;
        byte[] step = new byte[STEP_BYTES];
        try {
            while (total < ANSWER_BYTES) {
                int n = in.readNBytes(step, 0, (int) Math.min(STEP_BYTES, ANSWER_BYTES - total));
                total += n;
                if (n == 0) {
                    return total;
                }
                if (slow) {
                    Worker.sleep(50);
                }
            }
        } catch (IOException e) {
            // The channel was reset.
        }
        return total;
    }
}
