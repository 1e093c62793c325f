package review;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Queue;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A worker as PROTOCOL.md describes it: it registers and beats, answers 421 for another worker's
 * requests, and records what it runs.
 */
public final class Worker implements AutoCloseable {
    /** A request as it arrived. */
    public record Request(
            String method, String target, Map<String, String> headers, byte[] body, long nanos) {
        public String header(String name) {
            return headers.getOrDefault(name.toLowerCase(Locale.ROOT), "");
        }

        public String id() {
            return header("X-Laurelweir-Request-Id");
        }
    }

    /** Runs a request and writes its answer. */
    public interface Handler {
        void handle(Worker worker, Request r, Socket channel, OutputStream out)
                throws IOException, InterruptedException;
    }

    public final String id;
    public final String service;
    public final Queue<Request> ran = new ConcurrentLinkedQueue<>();
    public volatile boolean beating = true;
    public volatile String state = "ready";
    private final Fleet mFleet;
    private volatile ServerSocket mSocket;
    private final int mPort;
    private final Set<Socket> mChannels = ConcurrentHashMap.newKeySet();
    private volatile boolean mDown;

    /** The version of the worker's software. */
    public volatile String version = "v1";

    /** The time of the worker's start in Unix ms, or 0 if it does not tell it. */
    public volatile long born;

    /** How long a status report is under way. */
    public volatile long reportDelayMs;
    private final Handler mHandler;
    private final String mZone;
    private final int mSlots;
    private final AtomicInteger mSeq = new AtomicInteger();
    private volatile boolean mClosed;

    public Worker(Fleet fleet, String service, String zone, int slots, Handler handler)
            throws IOException {
        this.service = service;
        mFleet = fleet;
        mZone = zone;
        mSlots = slots;
        mHandler = handler;
        mSocket = listen(0);
        mPort = mSocket.getLocalPort();
        id = "i-" + service + "-" + mPort;
        daemon(this::acceptAll);
        daemon(this::beat);
    }

    private static ServerSocket listen(int port) throws IOException {
        ServerSocket socket = new ServerSocket();
        socket.setReuseAddress(true);
        socket.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), port), 512);
        return socket;
    }

    /** Crashes: all channels are reset, and nothing listens any more. */
    public void crash() throws IOException {
        mDown = true;
        mSocket.close();
        for (Socket s : mChannels) {
            s.setSoLinger(true, 0);
            s.close();
        }
        mChannels.clear();
    }

    /** Starts again under the same id and address, as another version. */
    public void startAgain(String newVersion) throws IOException {
        version = newVersion;
        born = System.currentTimeMillis();
        mSeq.set(0);
        mSocket = listen(mPort);
        mDown = false;
        daemon(this::acceptAll);
    }

    public static void daemon(Runnable r) {
        Thread t = new Thread(r);
        t.setDaemon(true);
        t.start();
    }

    public String address() {
        return "127.0.0.1:" + mPort;
    }

    private void beat() {
        int control = 0;
        while (!mClosed) {
            if (beating && !mDown) {
                String body = reportBody(state);
                sleep(reportDelayMs);
                HttpResponse<String> r = mFleet.call(control, "PUT", "/-/instances/" + id, body);
                if (r == null || r.statusCode() / 100 != 2) {
                    control = (control + 1) % mFleet.controls;
                    sleep(150);
                    continue;
                }
            }
            sleep(1200);
        }
    }

    /** Sends one status report to a control instance. */
    public HttpResponse<String> report(int control, String newState) {
        return mFleet.call(control, "PUT", "/-/instances/" + id, reportBody(newState));
    }

    /** Returns the body of the next status report. */
    public String reportBody(String newState) {
        return String.format(
                        Locale.ROOT,
                        "{\"service\":\"%s\",\"address\":\"%s\",\"zone\":\"%s\",\"version\":\"%s\",%s"
                                + "\"slots\":%d,\"state\":\"%s\",\"cold_left_ms\":0,\"seq\":%d}",
                        service, address(), mZone, version,
                        born == 0 ? "" : "\"born\":" + born + ",", mSlots, newState, mSeq.incrementAndGet());
    }

    private static void sleep(long ms) {
        try {
            Thread.sleep(ms);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void acceptAll() {
        ServerSocket socket = mSocket;
        while (!mClosed) {
            try {
                Socket s = socket.accept();
                s.setTcpNoDelay(true);
                mChannels.add(s);
                daemon(() -> serve(s));
            } catch (IOException e) {
                return;
            }
        }
    }

    private void serve(Socket s) {
        try (s) {
            mChannels.removeIf(Socket::isClosed);
            InputStream in = new BufferedInputStream(s.getInputStream(), 64 << 10);
            OutputStream out = s.getOutputStream();
            s.setSoTimeout(30_000);
            while (!mClosed) {
                Request r = Http.readRequest(in);
                if (r == null) {
                    return;
                }
                String target = r.header("X-Laurelweir-Target-Instance");
                if (!target.isEmpty() && !target.equals(id)) {
                    Http.write(out, 421, List.of("X-Laurelweir-Not-Executed: 1", "X-Laurelweir-Request-Id: " + r.id()), "");
                } else {
                    ran.add(r);
                    mHandler.handle(this, r, s, out);
                }
            }
        } catch (SocketTimeoutException e) {
            // An idle channel is closed.
        } catch (IOException e) {
            // The caller closed the channel.
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Writes a complete sealed answer. */
    public static void answer(OutputStream out, Request r, int status, String body)
            throws IOException {
        Http.write(
                out,
                status,
                List.of(
                        "X-Laurelweir-Request-Id: " + r.id(),
                        "X-Laurelweir-Response-Seal: seal-" + r.id(),
                        "X-Laurelweir-Server-Load: 1,0,6",
                        "Keep-Alive: timeout=15"),
                body);
    }

    /** Writes a complete sealed stream of events with rising ids. */
    public static void stream(OutputStream out, Request r, int events, int gapMs)
            throws IOException, InterruptedException {
        stream(out, r, "v1", 1, events, gapMs);
    }

    /** Writes a stream of a version from its first event on. */
    public static void stream(
            OutputStream out, Request r, String version, int first, int last, int gapMs)
            throws IOException, InterruptedException {
        String head =
                "HTTP/1.1 200 OK\r\nX-Laurelweir-Request-Id: " + r.id()
                        + "\r\nX-Laurelweir-Response-Seal: seal-" + r.id()
                        + "\r\nX-Laurelweir-Weight-Versions: 1"
                        + "\r\nContent-Type: text/event-stream"
                        + "\r\nKeep-Alive: timeout=15\r\nTransfer-Encoding: chunked\r\n\r\n";
        out.write(head.getBytes(StandardCharsets.ISO_8859_1));
        for (int i = first; i <= last; i++) {
            String event = "id: " + i + "\ndata: " + version + " piece " + i + " of " + r.id() + "\n\n";
            out.write((Integer.toHexString(event.length()) + "\r\n" + event + "\r\n").getBytes(StandardCharsets.ISO_8859_1));
            out.flush();
            Thread.sleep(gapMs);
        }
        out.write("0\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1));
        out.flush();
    }

    @Override
    public void close() throws IOException {
        mClosed = true;
        mSocket.close();
    }
}
