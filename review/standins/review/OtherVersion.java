package review;

import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.TreeSet;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CountDownLatch;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * One worker of six crashes within streams that may be resumed, and starts again under its id with
 * another version of its software. Its first status report is late. Clients take their streams up
 * again. Without the disruption, no worker crashes.
 */
public final class OtherVersion {
    private static final int WORKERS = 6;
    private static final int CLIENTS = 60;
    private static final int DEADLINE_MS = 8000;
    private static final int EVENTS = 40;
    private static final int EVENT_GAP_MS = 50;

    /** When the worker crashes, how long it is down, and how late its first report is. */
    private static final long CRASH_MS = 800;

    private static final long DOWN_MS = 300;
    private static final long REPORT_DELAY_MS = 2000;

    /** How long after the crash clients come back. */
    private static final long RESUME_MS = 600;

    /** ORDER: more than two streams. */
    private static final int ALLOWED_STREAMS = 2;

    private static final Pattern EVENT = Pattern.compile("id: (\\d+)\ndata: (v\\d) ");

    private final Record mRecord;
    private final Map<String, String> mServedBy = new ConcurrentHashMap<>();
    private final Queue<String> mMixed = new ConcurrentLinkedQueue<>();
    private final Queue<String> mResumed = new ConcurrentLinkedQueue<>();

    private OtherVersion(Record record) {
        mRecord = record;
    }

    public static void main(String[] args) {
        Case.run(args, (record, fleet, trouble) -> new OtherVersion(record).run(fleet, trouble));
    }

    private int run(Fleet fleet, boolean trouble) throws Exception {
        fleet.startAll();
        fleet.configure(Manifest.of(1, 1000, DEADLINE_MS));
        List<Worker> workers = new ArrayList<>();
        for (int i = 0; i < WORKERS; i++) {
            Worker w = new Worker(fleet, "clerk", "zone-" + i % 3, 64, this::work);
            w.version = i == 0 ? "v1" : "v2";
            w.born = System.currentTimeMillis();
            workers.add(w);
        }
        Case.awaitInTouch(fleet);
        Worker last = workers.get(0);
        CountDownLatch done = new CountDownLatch(CLIENTS);
        for (int i = 0; i < CLIENTS; i++) {
            int n = i;
            Worker.daemon(
                    () -> {
                        try {
                            stream(fleet, n);
                        } finally {
                            done.countDown();
                        }
                    });
        }
        Thread.sleep(CRASH_MS);
        if (trouble) {
            last.beating = false;
            last.crash();
            mRecord.line("worker %s (v1) crashes", last.id);
            Thread.sleep(DOWN_MS);
            last.startAgain("v2");
            last.reportDelayMs = REPORT_DELAY_MS;
            last.beating = true;
            mRecord.line("it starts again under its id as v2; its status reports are %d ms under way", REPORT_DELAY_MS);
        }
        done.await();
        mRecord.line("%d streams were taken up again: %s", mResumed.size(), mResumed);
        mRecord.line("%d streams hold events of two versions: %s", mMixed.size(), mMixed);
        return mMixed.size() > ALLOWED_STREAMS ? 1 : 0;
    }

    private void work(Worker w, Worker.Request r, Socket s, OutputStream out)
            throws IOException, InterruptedException {
        String version = w.version;
        mServedBy.put(r.id(), w.id + " " + version);
        String after = r.header("Last-Event-Id");
        int first = after.isEmpty() ? 1 : Integer.parseInt(after) + 1;
        Worker.stream(out, r, version, first, EVENTS, EVENT_GAP_MS);
    }

    private void stream(Fleet fleet, int n) {
        String firstId = "s" + n;
        StringBuilder text = new StringBuilder();
        boolean complete = ask(fleet, n, firstId, text);
        if (!complete && text.length() > 0) {
            sleep(RESUME_MS);
            String again = firstId + "-again";
            String lastId = "";
            Matcher m = EVENT.matcher(text);
            while (m.find()) {
                lastId = m.group(1);
            }
            mResumed.add(firstId);
            mRecord.line("client takes %s up as %s after event %s", firstId, again, lastId);
            ask(fleet, n, again, text, "Last-Event-Id: " + lastId, "Resumes: " + firstId);
        }
        TreeSet<String> versions = new TreeSet<>();
        Matcher m = EVENT.matcher(text);
        while (m.find()) {
            versions.add(m.group(2));
        }
        if (versions.size() > 1) {
            mMixed.add(firstId);
        }
    }

    private boolean ask(Fleet fleet, int n, String id, StringBuilder text, String... headers) {
        try (Client c = new Client(fleet.front(n % fleet.machines))) {
            Http.Answer a = c.ask("POST", "/resume/x", id, DEADLINE_MS, new byte[100], headers);
            mRecord.line("client got for %s: %s, served by %s", id,
                    a == null ? "closed" : a.status() + (a.complete() ? " complete, " : " cut, ") + a.body().length + " bytes",
                    mServedBy.get(id));
            if (a == null) {
                return false;
            }
            if (a.status() == 200) {
                text.append(new String(a.body(), StandardCharsets.ISO_8859_1));
            }
            return a.complete() && a.status() == 200;
        } catch (IOException e) {
            mRecord.line("client lost %s: %s", id, e.getMessage());
            return false;
        }
    }

    private static void sleep(long ms) {
        try {
            Thread.sleep(ms);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
