import java.io.PrintWriter;
import java.nio.file.Path;
import java.util.List;

/**
 * The settings files change while routers start, and the platform says so by SIGHUP. Do the routers
 * run on?
 */
final class HangupAtStart {
    /** The signal comes so long after a start: more than a second, so no start excuses an end. */
    private static final int AFTER_START_MILLIS = 1050;

    private static final int ROUNDS = 3;

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
        List<Fleet.Machine> hit = fleet.machines.subList(0, 2);
        int[] ends = new int[hit.size()];
        fleet.start();
        long started = Worker.now();
        for (int round = 0; round < ROUNDS; round++) {
            Worker.sleep(started + AFTER_START_MILLIS - Worker.now());
            for (int i = 0; i < hit.size(); i++) {
                if (!hit.get(i).router.isAlive()) {
                    return 2;
                }
                if (trouble) {
                    Fleet.signal(hit.get(i).router, "HUP");
                    record.println("SIGHUP to the router of machine " + i + " at +"
                            + (Worker.now() - started) + " ms after its start");
                }
            }
            Worker.sleep(400);
            for (int i = 0; i < hit.size(); i++) {
                Process p = hit.get(i).router;
                if (!p.isAlive()) {
                    ends[i]++;
                    record.println("the router of machine " + i + " has ended with code "
                            + p.exitValue());
                    hit.get(i).startRouter();
                }
            }
            started = Worker.now();
        }
        int broken = 0;
        for (int e : ends) {
            broken += e >= 3 ? 1 : 0;
        }
        System.out.println("ends by themselves: " + ends[0] + " and " + ends[1]);
        return broken >= 2 ? 1 : 0;
    }
}
