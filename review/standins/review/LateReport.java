package review;

import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.List;

/**
 * A worker leaves: its departure is acknowledged, and it serves on for a while. Then all processes
 * of the core are killed at the same moment and are back within a second. After that, a status
 * report that the worker had sent before it left arrives. Without the disruption, no process is
 * killed.
 */
public final class LateReport {
    private static final int DEADLINE_MS = 1000;
    private static final long DRAIN_MS = 2000;
    private static final long STABLE_WINDOW_MS = 3000;

    /** Margin for the clocks of this script, in favour of the system. */
    private static final long MARGIN_MS = 200;

    /** Between the ack of the departure and the kill; every router learns of it in 300 ms. */
    private static final long KILL_AFTER_MS = 600;

    /** How long the killed processes are down. */
    private static final long DOWN_MS = 400;

    private LateReport() {}

    public static void main(String[] args) {
        Case.run(args, LateReport::run);
    }

    private static int run(Record record, Fleet fleet, boolean trouble) throws Exception {
        fleet.startAll();
        fleet.configure(Manifest.of(1));
        List<Worker> workers = new ArrayList<>();
        for (int i = 0; i < 3; i++) {
            workers.add(
                    new Worker(
                            fleet,
                            "desk",
                            "zone-" + i,
                            6,
                            (w, r, s, out) -> {
                                Thread.sleep(30);
                                Worker.answer(out, r, 200, "done " + r.id());
                            }));
        }
        Case.awaitInTouch(fleet);
        for (int i = 0; i < 3; i++) {
            clients(fleet, i);
        }
        Thread.sleep(2000);
        Worker leaving = workers.get(0);
        leaving.beating = false;
        Thread.sleep(1500);
        String lateReport = leaving.reportBody("ready");
        record.line("worker %s sends a status report, which is late: %s", leaving.id, lateReport);
        long sent = System.nanoTime();
        Thread.sleep(100);
        HttpResponse<String> again = leaving.report(1, "ready");
        HttpResponse<String> left = fleet.call(0, "DELETE", "/-/instances/" + leaving.id, null);
        if (again == null || again.statusCode() != 200 || left == null || left.statusCode() != 200) {
            throw new CannotRun("the worker could not leave");
        }
        long acked = System.nanoTime();
        record.line("its next report was acknowledged by control 1, its departure by control 0; it serves on");
        Thread.sleep(KILL_AFTER_MS);
        if (trouble) {
            for (int i = 0; i < 3; i++) {
                fleet.process("control", i).destroyForcibly();
                fleet.process("router", i).destroyForcibly();
            }
            for (int i = 0; i < 3; i++) {
                fleet.process("control", i).waitFor();
                fleet.process("router", i).waitFor();
            }
            Thread.sleep(DOWN_MS);
            fleet.startAll();
            record.line("all processes of the core machines were killed and are started again");
        }
        long started = System.nanoTime();
        Thread.sleep(STABLE_WINDOW_MS + MARGIN_MS);
        long from = Math.max(acked + (DRAIN_MS + MARGIN_MS) * 1_000_000, started + (STABLE_WINDOW_MS + MARGIN_MS) * 1_000_000);
        HttpResponse<String> late = fleet.call(2, "PUT", "/-/instances/" + leaving.id, lateReport);
        record.line("the late report arrives at control 2, %d ms after it was sent: %s",
                (System.nanoTime() - sent) / 1_000_000, late == null ? "no answer" : late.statusCode());
        Thread.sleep(4000);
        List<Worker.Request> reached = leaving.ran.stream().filter(r -> r.nanos() > from).toList();
        for (Worker.Request r : reached) {
            record.line("request %s reached the worker %d ms after the ack of its departure", r.id(), (r.nanos() - acked) / 1_000_000);
        }
        record.line("%d requests reached it too late; the others ran %d and %d requests in all",
                reached.size(), workers.get(1).ran.size(), workers.get(2).ran.size());
        return reached.isEmpty() ? 0 : 1;
    }

    /** Sends a request every 40 ms to a router, on a channel that is kept. */
    private static void clients(Fleet fleet, int machine) {
        Worker.daemon(
                () -> {
                    Client c = null;
                    for (int i = 0; ; i++) {
                        try {
                            c = c == null ? new Client(fleet.front(machine)) : c;
                            Http.Answer a = c.ask("POST", "/unsafe/x", "q" + machine + "-" + i, DEADLINE_MS, new byte[600]);
                            if (a == null || a.header("Connection").equalsIgnoreCase("close")) {
                                c.close();
                                c = null;
                            }
                            Thread.sleep(40);
                        } catch (java.io.IOException e) {
                            c = null;
                            pause();
                        } catch (InterruptedException e) {
                            return;
                        }
                    }
                });
    }

    private static void pause() {
        try {
            Thread.sleep(40);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
