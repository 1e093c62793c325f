import java.io.IOException;
import java.io.PrintWriter;
import java.net.Socket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/**
 * A request crashes each worker that begins to run it, and comes again every 5 s. After three
 * crashes it is kept away from workers. Is it still, once all processes have been killed and are
 * back?
 */
final class CrashAgain {
    private static final int STABLE_WINDOW_MILLIS = 3000;
    private static final int KILLS = 2;
    private static final String DEADLY = "/check/deadly";

    /** When the deadly request arrived at a worker, in ms of the steady clock. */
    private static final List<Long> sArrivals = new CopyOnWriteArrayList<>();

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

    /** Starts a worker that crashes under the deadly request, and is back 2 s later. */
    private static void startWorker(int number, List<String> controls, PrintWriter record) {
        try {
            Worker w =
                    new Worker(
                            "i-" + Client.newId(), "havnebok", "zone-" + number, 6, 43, controls) {
                        @Override
                        void answer(Http.Message r, Socket s) throws IOException {
                            boolean isDeadly = r.line().contains(DEADLY) && !ended;
                            if (!isDeadly) {
                                super.answer(r, s);
                                return;
                            }
                            sArrivals.add(now());
                            record.println("worker " + id + " crashes under the request "
                                    + r.header("x-laurelweir-request-id"));
                            ended = true;
                            for (Socket o : open) {
                                o.setSoLinger(true, 0);
                            }
                            end();
                            daemon(
                                    () -> {
                                        sleep(2000);
                                        startWorker(number, controls, record);
                                    });
                        }
                    };
            w.startBeats();
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    private static int run(Fleet fleet, boolean trouble, PrintWriter record) throws Exception {
        fleet.start();
        List<String> controls =
                fleet.controls().stream().map(Fleet.Machine::controlAddress).toList();
        String manifest =
                Manifest.of(
                        7,
                        Manifest.route("check", "/check/", "safe", "havnebok", 2),
                        Manifest.service("havnebok"),
                        Manifest.tenant("broker", Manifest.KEY));
        if (Manifest.send(fleet, manifest, 20_000) < 0) {
            return 2;
        }
        for (int i = 0; i < 5; i++) {
            startWorker(i, controls, record);
        }
        Worker.sleep(6000);
        Client client = new Client(fleet.machines, Manifest.HOST);
        client.startLoad("/check/sound-@", Manifest.KEY, 10);
        long third = -1;
        long calm = Worker.now();
        int counted = 0;
        List<long[]> calmTimes = new ArrayList<>();
        calmTimes.add(new long[] {calm, Long.MAX_VALUE});
        int turn = 0;
        for (int i = 0; i < 5; i++) {
            deadly(client, fleet.machines.get(turn++ % 4), record);
            Worker.sleep(5000);
        }
        if (sArrivals.size() < 3) {
            return 2;
        }
        third = sArrivals.get(2);
        record.println("third crash; " + sArrivals.size() + " arrivals so far");
        for (int kill = 0; kill < KILLS; kill++) {
            if (trouble) {
                calmTimes.get(calmTimes.size() - 1)[1] = Worker.now();
                for (Fleet.Machine m : fleet.machines) {
                    m.control.destroyForcibly();
                    m.router.destroyForcibly();
                }
                Worker.sleep(500);
                for (Fleet.Machine m : fleet.machines) {
                    m.bootstrap = false;
                    m.startControl();
                    m.startRouter();
                }
                calmTimes.add(
                        new long[] {Worker.now() + STABLE_WINDOW_MILLIS, Long.MAX_VALUE});
                record.println("all processes killed and started again");
            }
            Worker.sleep(5000);
            for (int i = 0; i < 4; i++) {
                deadly(client, fleet.machines.get(turn++ % 4), record);
                Worker.sleep(5000);
            }
        }
        client.end();
        for (long at : sArrivals) {
            boolean isCalm = calmTimes.stream().anyMatch(t -> at >= t[0] && at < t[1]);
            if (isCalm && at > third + STABLE_WINDOW_MILLIS) {
                counted++;
            }
            record.println("arrival at " + (at - third) + " ms after the third crash"
                    + (isCalm ? ", machines in touch" : ""));
        }
        System.out.println(counted + " retries reached workers after the third crash");
        return counted > 3 ? 1 : 0;
    }

    private static void deadly(Client client, Fleet.Machine m, PrintWriter record) {
        Client.Sent s = client.send(m, DEADLY, Manifest.KEY, "", 1500);
        record.println("the request at machine " + m.number + ": status " + s.status());
    }
}
