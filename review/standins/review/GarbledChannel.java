package review;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A worker sends additional bytes after a complete answer: the beginning of a second answer that is
 * broken off. The next request on that channel fails at the worker, which answers 500 as usual.
 */
public final class GarbledChannel {
    private static final int DEADLINE_MS = 1000;
    private static final int REQUESTS = 500;
    private static final int WORKERS = 3;

    /** One worker of three garbles one answer in this many, 2.5 in 100. */
    private static final int GARBLED_EVERY = 40;

    /** Each worker fails one request in this many by itself, 12.5 in 100. */
    private static final int FAILED_EVERY = 8;

    /** The beginning of the second answer, up to where it is broken off. */
    private static final String ADDITIONAL = "HTTP/1.1 200 OK";

    private final Record mRecord;
    private final Map<String, Integer> mStatuses = new ConcurrentHashMap<>();
    private final Map<String, String> mLast = new ConcurrentHashMap<>();
    private final AtomicInteger mGarbled = new AtomicInteger();

    private GarbledChannel(Record record) {
        mRecord = record;
    }

    public static void main(String[] args) {
        Case.run(args, (record, fleet, trouble) -> new GarbledChannel(record).run(fleet, trouble));
    }

    private int run(Fleet fleet, boolean trouble) throws Exception {
        fleet.startAll();
        fleet.configure(Manifest.of(1));
        for (int i = 0; i < WORKERS; i++) {
            boolean garbles = trouble && i == 0;
            AtomicInteger count = new AtomicInteger();
            new Worker(fleet, "desk", "zone-" + i, 6, (w, r, s, out) -> work(w, r, out, count.incrementAndGet(), garbles));
        }
        Case.awaitInTouch(fleet);
        List<String> mixed = new ArrayList<>();
        Client client = new Client(fleet.front(0));
        for (int i = 1; i <= REQUESTS; i++) {
            String id = "q" + i;
            Http.Answer a = ask(client, id);
            String seal = a == null ? "" : a.header("X-Laurelweir-Response-Seal");
            mRecord.line("client got for %s: %s", id, a == null ? "no answer" : a.status() + ", seal " + seal + ", " + a.text());
            // Of a request that was sent twice, the last run gave the answer.
            Integer given = mStatuses.get(id + " " + mLast.get(id));
            boolean wrongSuccess = a != null && a.status() / 100 == 2 && given != null && given / 100 != 2;
            boolean wrongFailure = a != null && !seal.isEmpty() && given != null && given != a.status();
            if (wrongSuccess || wrongFailure) {
                mixed.add(id + ": the worker gave " + given + ", the client got " + a.status());
            }
            if (a == null || a.header("Connection").equalsIgnoreCase("close")) {
                client.close();
                client = new Client(fleet.front(0));
            }
            Thread.sleep(10);
        }
        mRecord.line("%d answers were garbled; mixed: %s", mGarbled.get(), mixed);
        return mixed.isEmpty() ? 0 : 1;
    }

    private void work(Worker w, Worker.Request r, OutputStream out, int n, boolean garbles)
            throws IOException, InterruptedException {
        Thread.sleep(10);
        boolean fails = n > 1 && n % FAILED_EVERY == 1;
        boolean garbled = garbles && n % GARBLED_EVERY == 0;
        int status = fails ? 500 : 200;
        mStatuses.put(r.id() + " " + w.id, status);
        mLast.put(r.id(), w.id);
        Worker.answer(out, r, status, (fails ? "failed " : "done ") + r.id());
        if (garbled) {
            out.write(ADDITIONAL.getBytes(StandardCharsets.ISO_8859_1));
            out.flush();
            mGarbled.incrementAndGet();
        }
        mRecord.line("worker %s ran %s and answered %d%s", w.id, r.id(), status, garbled ? " and additional bytes: " + ADDITIONAL : "");
    }

    private Http.Answer ask(Client client, String id) {
        try {
            return client.ask("GET", "/safe/x", id, DEADLINE_MS, new byte[0]);
        } catch (IOException e) {
            mRecord.line("client lost %s: %s", id, e.getMessage());
            return null;
        }
    }
}
