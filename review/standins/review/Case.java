package review;

import java.nio.file.Path;
import java.util.concurrent.TimeUnit;

/** Runs a case and exits with 1 if the rule was broken, 0 if it held, 2 if it could not run. */
public final class Case {
    private static final int COULD_NOT_RUN = 2;

    /** A case may take 120 s; the rest is for ending the processes. */
    private static final long MAX_SECONDS = 110;

    /** stable_window_ms and a second: afterwards each machine is in touch. */
    private static final long IN_TOUCH_MS = 4000;

    private Case() {}

    /** What a case does; returns the exit code. */
    public interface Body {
        int run(Record record, Fleet fleet, boolean trouble) throws Exception;
    }

    /**
     * Runs a case on a fleet of three machines, each with a router and a control instance.
     *
     * @param args the path of the record
     */
    public static void run(String[] args, Body body) {
        int exit = COULD_NOT_RUN;
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        try (Record record = new Record(Path.of(args[0]));
                Fleet fleet = new Fleet(record, 3, 3)) {
            watch(fleet);
            record.line(trouble ? "with the disruption" : "without the disruption");
            exit = body.run(record, fleet, trouble);
            record.line("exit %d", exit);
        } catch (Exception e) {
            System.out.println("could not run: " + e);
        }
        System.out.println("exit " + exit);
        System.exit(exit);
    }

    private static void watch(Fleet fleet) {
        Worker.daemon(
                () -> {
                    try {
                        TimeUnit.SECONDS.sleep(MAX_SECONDS);
                    } catch (InterruptedException e) {
                        return;
                    }
                    System.out.println("could not run: it took too long");
                    fleet.close();
                    Runtime.getRuntime().halt(COULD_NOT_RUN);
                });
    }

    /** Waits until all routers are ready, and then until each machine is in touch. */
    public static void awaitInTouch(Fleet fleet) throws InterruptedException {
        for (int i = 0; i < fleet.machines; i++) {
            fleet.awaitReady(i);
        }
        Thread.sleep(IN_TOUCH_MS);
    }
}
