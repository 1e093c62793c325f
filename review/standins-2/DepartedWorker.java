import java.io.PrintWriter;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * A worker withdraws, and control acknowledges that. At once all processes of control are killed,
 * and are back within a second. Does the worker get requests later than the rule allows?
 */
final class DepartedWorker {
    private static final int DRAIN_MILLIS = 2000;
    private static final int STABLE_WINDOW_MILLIS = 3000;

    /** A worker that leaves serves on for drain_ms and a little longer. */
    private static final int SERVES_ON_MILLIS = DRAIN_MILLIS + 2600;

    public static void main(String[] args) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        int disks = 4;
        try (Fleet fleet = new Fleet(disks, 1);
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
                        Manifest.route("orders", "/orders/", "unsafe", "havnebok", 1),
                        Manifest.service("havnebok"),
                        Manifest.tenant("broker", Manifest.KEY));
        if (Manifest.send(fleet, manifest, 20_000) < 0) {
            return 2;
        }
        List<Worker> workers = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
            Worker w = new Worker("i-" + Client.newId(), "havnebok", "zone-" + i, 6, 100, controls);
            workers.add(w);
            w.startBeats();
        }
        Client client = new Client(fleet.machines, Manifest.HOST);
        Worker.sleep(6000);
        client.startLoad("/orders/1", Manifest.KEY, 60);
        Worker.sleep(6000);
        long served = client.sent.stream().filter(s -> s.status() == 200).count();
        record.println("before: " + client.sent.size() + " sent, " + served + " served");
        if (served < 200) {
            return 2;
        }
        Worker leaving = workers.get(0);
        leaving.beats = false;
        long sentAt = Worker.now();
        if (!leaving.withdraw()) {
            return 2;
        }
        long acked = Worker.now();
        record.println("withdrawal of " + leaving.id + " acknowledged after " + (acked - sentAt)
                + " ms");
        long calm = acked;
        if (trouble) {
            for (Fleet.Machine m : fleet.controls()) {
                m.control.destroyForcibly();
            }
            record.println("all of control killed at +" + (Worker.now() - acked) + " ms");
            Worker.sleep(500);
            for (Fleet.Machine m : fleet.controls()) {
                m.bootstrap = false;
                m.startControl();
            }
            calm = Worker.now() + STABLE_WINDOW_MILLIS;
            record.println("all of control started at +" + (Worker.now() - acked) + " ms");
        }
        long from = Math.max(acked + DRAIN_MILLIS, calm);
        record.println("machines are in touch and drain_ms is over from +" + (from - acked) + " ms");
        Worker.sleep(acked + SERVES_ON_MILLIS - Worker.now());
        int cut = leaving.running.get();
        leaving.end();
        record.println("the worker ended at +" + (Worker.now() - acked) + " ms, with " + cut
                + " requests in work");
        Worker.sleep(acked + 10_000 - Worker.now());
        client.end();
        Worker.sleep(2000);
        List<Worker.Run> late = leaving.runs.stream().filter(r -> r.arrivedAt() > from).toList();
        int[] perHalfSecond = new int[20];
        for (Worker.Run r : leaving.runs) {
            int i = (int) ((r.arrivedAt() - acked) / 500);
            if (r.arrivedAt() >= acked && i < perHalfSecond.length) {
                perHalfSecond[i]++;
            }
        }
        for (int i = 0; i < perHalfSecond.length; i++) {
            record.println("+" + i * 500 + " ms: " + perHalfSecond[i] + " runs at the worker");
        }
        late.forEach(r -> record.println("late: " + r.id() + " at +" + (r.arrivedAt() - acked)));
        System.out.println(late.size() + " requests reached the worker that had left");
        return late.isEmpty() ? 0 : 1;
    }
}
