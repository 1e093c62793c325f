import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * One worker of six crashes within streams that may be resumed, and starts again under its id with
 * another version of its software; its first status report is late. Clients take their streams up
 * at machines that had no channel to that worker.
 */
final class TakeUp {
    private static final int WORKERS = 6;
    private static final int CLIENTS = 60;
    private static final int TIME_LIMIT_MILLIS = 8000;
    private static final int EVENTS = 40;
    private static final int EVENT_GAP_MILLIS = 50;
    private static final int CRASH_AFTER_MILLIS = 800;
    private static final int DOWN_MILLIS = 300;
    private static final int REPORT_LATE_MILLIS = 2000;
    private static final int COME_BACK_MILLIS = 600;

    /** ORDER: more than two streams. */
    private static final int ALLOWED_STREAMS = 2;

    private static final Pattern EVENT = Pattern.compile("id: (\\d+)\ndata: (v\\d)\n\n");

    private static final List<String> sMixed = new CopyOnWriteArrayList<>();
    private static final List<String> sTakenUp = new CopyOnWriteArrayList<>();
    private static final List<String> sGoneOn = new CopyOnWriteArrayList<>();

    /** A worker that streams events of its version. */
    private static final class Streamer {
        final String id = "i-" + Client.newId();
        final List<String> controls;
        final int port;
        final Set<Socket> open = ConcurrentHashMap.newKeySet();
        volatile String version;
        volatile long born = System.currentTimeMillis();
        volatile long reportsFrom;
        private volatile ServerSocket mServer;
        private int mSeq;
        private int mNext;

        Streamer(String version, List<String> controls) throws IOException {
            this.version = version;
            this.controls = controls;
            mNext = Math.floorMod(id.hashCode(), controls.size());
            listen(0);
            port = mServer.getLocalPort();
            Worker.daemon(
                    () -> {
                        while (true) {
                            if (Worker.now() >= reportsFrom) {
                                report();
                            }
                            Worker.sleep(reportsFrom > Worker.now() ? 20 : 1200);
                        }
                    });
        }

        private void listen(int wanted) throws IOException {
            ServerSocket server = new ServerSocket();
            server.setReuseAddress(true);
            server.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), wanted), 256);
            mServer = server;
            Worker.daemon(
                    () -> {
                        while (true) {
                            try {
                                Socket s = server.accept();
                                s.setTcpNoDelay(true);
                                open.add(s);
                                Worker.daemon(() -> serve(s));
                            } catch (IOException e) {
                                return;
                            }
                        }
                    });
        }

        private void report() {
            String body =
                    ("{\"service\":\"seilhjerne\",\"address\":\"127.0.0.1:%d\",\"zone\":\"zone-0\","
                                    + "\"version\":\"%s\",\"slots\":64,\"state\":\"ready\","
                                    + "\"cold_left_ms\":0,\"seq\":%d,\"born\":%d}")
                            .formatted(port, version, ++mSeq, born);
            for (int i = 0; i < controls.size(); i++) {
                String control = controls.get(mNext % controls.size());
                Http.Message m =
                        Http.controlCall(control, "PUT", "/-/instances/" + id, body);
                if (m != null && m.status() / 100 == 2) {
                    return;
                }
                mNext++;
            }
        }

        /** Crashes, and starts again after a while under the same id as another version. */
        void crashAndReturn(String newVersion) throws IOException {
            reportsFrom = Long.MAX_VALUE;
            mServer.close();
            for (Socket s : open) {
                try {
                    s.setSoLinger(true, 0);
                } catch (SocketException e) {
                    // It is closed already.
                }
                s.close();
            }
            open.clear();
            Worker.sleep(DOWN_MILLIS);
            version = newVersion;
            born = System.currentTimeMillis();
            mSeq = 0;
            listen(port);
            reportsFrom = Worker.now() + REPORT_LATE_MILLIS;
        }

        private void serve(Socket s) {
            String mine = version;
            try (s) {
                for (Http.Message r = Http.read(s.getInputStream(), false);
                        r != null;
                        r = Http.read(s.getInputStream(), false)) {
                    stream(s, r, mine);
                }
            } catch (IOException e) {
                // The caller left, or this worker crashed.
            } finally {
                open.remove(s);
            }
        }

        private void stream(Socket s, Http.Message r, String mine) throws IOException {
            OutputStream out = s.getOutputStream();
            String echo = "X-Laurelweir-Request-Id: " + r.header("x-laurelweir-request-id") + "\r\n";
            String target = r.header("x-laurelweir-target-instance");
            if (!target.isEmpty() && !target.equals(id)) {
                write(out, "HTTP/1.1 421 X\r\n" + echo
                        + "X-Laurelweir-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n");
                return;
            }
            String after = r.header("last-event-id");
            write(out, "HTTP/1.1 200 OK\r\n" + echo + "X-Laurelweir-Response-Seal: seal-" + id
                    + "\r\nContent-Type: text/event-stream\r\nKeep-Alive: timeout=10\r\n"
                    + "Transfer-Encoding: chunked\r\n\r\n");
            for (int e = after.isEmpty() ? 1 : Integer.parseInt(after) + 1; e <= EVENTS; e++) {
                String event = "id: " + e + "\ndata: " + mine + "\n\n";
                write(out, Integer.toHexString(event.length()) + "\r\n" + event + "\r\n");
                Worker.sleep(EVENT_GAP_MILLIS);
            }
            write(out, "0\r\n\r\n");
        }

        private static void write(OutputStream out, String text) throws IOException {
            out.write(text.getBytes(StandardCharsets.ISO_8859_1));
            out.flush();
        }
    }

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
        String route =
                Manifest.route("mail", "/mail/", "streaming", "seilhjerne", 2)
                        .replace("\"timeout_ms\":1500", "\"timeout_ms\":" + TIME_LIMIT_MILLIS)
                        .replace("\"target_latency_ms\":193", "\"target_latency_ms\":500")
                        .replace("\"resumable\":false", "\"resumable\":true,\"target_gap_ms\":400");
        String manifest =
                Manifest.of(
                        7,
                        route,
                        Manifest.service("seilhjerne"),
                        Manifest.tenant("broker", Manifest.KEY));
        if (Manifest.send(fleet, manifest, 20_000) < 0) {
            return 2;
        }
        List<Streamer> workers = new ArrayList<>();
        for (int i = 0; i < WORKERS; i++) {
            workers.add(new Streamer(i == 0 ? "v1" : "v2", controls));
        }
        Worker.sleep(8000);
        // Streams that end before: control and the first machine have done it all once.
        for (int i = 0; i < 12; i++) {
            Worker.daemon(
                    () ->
                            ask(
                                    fleet.machines.get(0),
                                    "w" + Client.newId(),
                                    "",
                                    new StringBuilder(),
                                    record));
            Worker.sleep(50);
        }
        Worker.sleep(4000);
        CountDownLatch done = new CountDownLatch(CLIENTS);
        for (int i = 0; i < CLIENTS; i++) {
            int n = i;
            Worker.daemon(
                    () -> {
                        try {
                            client(fleet, n, record);
                        } finally {
                            done.countDown();
                        }
                    });
            Worker.sleep(5);
        }
        Worker.sleep(CRASH_AFTER_MILLIS);
        if (trouble) {
            workers.get(0).crashAndReturn("v2");
            record.println("worker " + workers.get(0).id
                    + " has crashed and started again under its id as v2; its first report is "
                    + REPORT_LATE_MILLIS + " ms late");
        }
        done.await();
        record.println(sTakenUp.size() + " streams taken up, " + sGoneOn.size() + " went on");
        record.println(sMixed.size() + " streams hold events of two versions: " + sMixed);
        System.out.println(sTakenUp.size() + " streams taken up, " + sGoneOn.size()
                + " went on, " + sMixed.size() + " hold events of two versions");
        return sMixed.size() > ALLOWED_STREAMS ? 1 : 0;
    }

    /** One client: a stream at the first machine; if it breaks off, it goes on at another one. */
    private static void client(Fleet fleet, int n, PrintWriter record) {
        String first = "s" + n + "-" + Client.newId();
        StringBuilder text = new StringBuilder();
        boolean whole = ask(fleet.machines.get(0), first, "", text, record);
        if (!whole && text.length() > 0) {
            Worker.sleep(COME_BACK_MILLIS);
            String last = "";
            Matcher m = EVENT.matcher(text);
            while (m.find()) {
                last = m.group(1);
            }
            sTakenUp.add(first);
            int before = text.length();
            String more = "Last-Event-Id: " + last + "\r\nResumes: " + first + "\r\n";
            ask(fleet.machines.get(1 + n % 3), first + "-again", more, text, record);
            if (text.length() > before) {
                sGoneOn.add(first);
            }
            record.println(first + " taken up after event " + last + ": "
                    + (text.length() - before) + " bytes more");
        }
        Set<String> versions = new TreeSet<>();
        Matcher m = EVENT.matcher(text);
        while (m.find()) {
            versions.add(m.group(2));
        }
        if (versions.size() > 1) {
            sMixed.add(first);
        }
    }

    /** Reads a stream; returns whether it came to its end. */
    private static boolean ask(
            Fleet.Machine m, String id, String more, StringBuilder text, PrintWriter record) {
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        boolean whole = false;
        try (Socket s = Http.connect(m.front(), 1000)) {
            s.setSoTimeout(TIME_LIMIT_MILLIS);
            Http.send(
                    s,
                    Manifest.HOST,
                    "POST",
                    "/mail/x",
                    "X-Laurelweir-Request-Id: " + id + "\r\nX-Laurelweir-Request-Deadline-Ms: "
                            + TIME_LIMIT_MILLIS + "\r\nAuthorization: Token " + Manifest.KEY
                            + "\r\n" + more,
                    "dossier");
            InputStream in = s.getInputStream();
            String status = line(in);
            int length = 0;
            for (String h = line(in); !h.isEmpty(); h = line(in)) {
                if (h.toLowerCase(Locale.ROOT).startsWith("content-length:")) {
                    length = Integer.parseInt(h.substring(h.indexOf(':') + 1).strip());
                }
            }
            if (!status.contains(" 200 ")) {
                record.println(
                        id + " got " + status + " "
                                + new String(in.readNBytes(length), StandardCharsets.UTF_8));
                return false;
            }
            while (true) {
                int size = Integer.parseInt(line(in).strip(), 16);
                body.writeBytes(in.readNBytes(size));
                line(in);
                if (size == 0) {
                    whole = true;
                    break;
                }
            }
        } catch (IOException | NumberFormatException e) {
            // The stream has broken off.
        }
        text.append(body.toString(StandardCharsets.ISO_8859_1));
        return whole;
    }

    private static String line(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        for (int b = in.read(); b != '\n'; b = in.read()) {
            if (b < 0) {
                throw new IOException("the channel has ended");
            }
            line.write(b);
        }
        return line.toString(StandardCharsets.ISO_8859_1).replace("\r", "");
    }
}
