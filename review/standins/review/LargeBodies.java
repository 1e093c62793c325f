package review;

import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Queue;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CountDownLatch;

/**
 * Many users come at once: within 2.4 s, each of some clients sends a request with a body
 * within the manifest's limit on its kept channel to one router. Without the disruption they send
 * the same requests one after the other.
 */
public final class LargeBodies {
    private static final int CLIENTS = 20;

    /** Between two clients: 8.3 requests a second. */
    private static final int GAP_MS = 120;

    /** Below max_body_bytes of the manifest, 4,194,304. */
    private static final int BODY_BYTES = 4_000_000;

    private static final int DEADLINE_MS = 5000;

    private static final int WORKERS = 2;

    /** Below the largest prompt on the installation's sheet, 18,000 + 6,290 + 7,900. */
    private static final int PROMPT_TOKENS = 30_000;

    /** Prompt tokens that an engine reads in a ms, as on the sheet. */
    private static final double TOKENS_PER_MS = 44.2;

    private static final int EVENTS = 10;
    private static final int EVENT_GAP_MS = 20;

    /** LOST: more than three times. */
    private static final int ALLOWED_LOST = 3;

    private final Record mRecord;
    private final Fleet mFleet;
    private final Set<String> mArrived = ConcurrentHashMap.newKeySet();
    private final Queue<String> mClosed = new ConcurrentLinkedQueue<>();
    private final Queue<String> mAnswered = new ConcurrentLinkedQueue<>();

    private LargeBodies(Record record, Fleet fleet) {
        mRecord = record;
        mFleet = fleet;
    }

    public static void main(String[] args) {
        Case.run(args, (record, fleet, trouble) -> new LargeBodies(record, fleet).run(trouble));
    }

    private int run(boolean trouble) throws Exception {
        mFleet.startAll();
        mFleet.configure(Manifest.of(1, 1000, DEADLINE_MS));
        for (int i = 0; i < WORKERS; i++) {
            new Worker(mFleet, "clerk", "zone-" + i, 64, this::work);
        }
        Case.awaitInTouch(mFleet);
        List<Client> clients = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
            clients.add(new Client(mFleet.front(0)));
            Http.Answer a = clients.get(i).ask("POST", "/stream/x", "small-" + i, DEADLINE_MS, new byte[600], headers(440));
            if (a == null || a.status() != 200) {
                throw new CannotRun("a small request was not served");
            }
        }
        mRecord.line("%d clients have a kept channel to router 0, each was served once", CLIENTS);
        byte[] body = new byte[BODY_BYTES];
        Arrays.fill(body, (byte) 'x');
        CountDownLatch done = new CountDownLatch(CLIENTS);
        for (int i = 0; i < CLIENTS; i++) {
            Client client = clients.get(i);
            String id = "large-" + i;
            Runnable ask = () -> ask(client, id, body, done);
            if (trouble) {
                Worker.daemon(ask);
                Thread.sleep(GAP_MS);
            } else {
                ask.run();
            }
        }
        done.await();
        Thread.sleep(1000);
        return judge();
    }

    private static String[] headers(int tokens) {
        return new String[] {
            "X-Laurelweir-Model: m",
            "X-Laurelweir-Token-Usage: " + tokens + "," + EVENTS * 5,
            "X-Laurelweir-Prompt-Prefix: 5c1e07a2:" + (tokens - 100) + "," + Long.toHexString(System.nanoTime()) + ":100"
        };
    }

    /** Reads one prompt after the other, as an engine does, then streams the events. */
    private void work(Worker w, Worker.Request r, Socket s, OutputStream out)
            throws IOException, InterruptedException {
        mArrived.add(r.id());
        mRecord.line("worker %s has received the whole of %s, %d bytes", w.id, r.id(), r.body().length);
        int tokens = Integer.parseInt(r.header("X-Laurelweir-Token-Usage").split(",")[0]);
        synchronized (w) {
            Thread.sleep((long) (tokens / TOKENS_PER_MS));
        }
        Worker.stream(out, r, EVENTS, EVENT_GAP_MS);
        mRecord.line("worker %s has answered %s", w.id, r.id());
    }

    private void ask(Client client, String id, byte[] body, CountDownLatch done) {
        try {
            mRecord.line("client sends %s", id);
            Http.Answer a = client.ask("POST", "/stream/x", id, DEADLINE_MS, body, headers(PROMPT_TOKENS));
            if (a == null) {
                mClosed.add(id);
                mRecord.line("client: channel of %s closed without an answer", id);
            } else {
                mAnswered.add(id);
                mRecord.line("client got %d for %s, %s", a.status(), id, a.complete() ? "complete" : "cut");
            }
        } catch (IOException e) {
            mClosed.add(id);
            mRecord.line("client: channel of %s closed without an answer (%s)", id, e.getMessage());
        } finally {
            done.countDown();
        }
    }

    private int judge() throws IOException {
        List<String> lost = mClosed.stream().filter(mArrived::contains).sorted().toList();
        mRecord.line("channels closed without an answer: %d; of these passed on to a worker: %d %s", mClosed.size(), lost.size(), lost);
        Process router = mFleet.process("router", 0);
        if (!router.isAlive()) {
            mRecord.line("router 0 ended by itself with exit code %d", router.exitValue());
            for (String l : mFleet.logTail("router", 0, 1)) {
                mRecord.line("its last log line: %s", l.substring(0, Math.min(l.length(), 300)));
            }
        }
        return lost.size() > ALLOWED_LOST ? 1 : 0;
    }
}
