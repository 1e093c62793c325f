package org.laurelweir.control;

import com.sun.management.OperatingSystemMXBean;
import java.io.IOException;
import java.lang.management.ManagementFactory;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import org.laurelweir.contention.ContentionReport;
import org.laurelweir.lib.BackendRef;
import org.laurelweir.load.LoadReport;
import org.laurelweir.membership.Backend;
import org.laurelweir.membership.MembershipCursor;
import org.laurelweir.membership.RouterReport;
import org.laurelweir.membership.SidecarReport;
import org.laurelweir.quarantine.CrashReport;
import org.laurelweir.runtime.rpc.ExchangeAnswer;
import org.laurelweir.runtime.rpc.ExchangeClient;

/**
 * Measures the bytes of an idle exchange at the socket, HTTP/2 included, the bytes of a full view,
 * and the processor time of both ends together. Run by hand: {@code WireBytesMeasurement FOLDER}.
 * It uses one instance, 37 services and one exchange at a time.
 */
public final class WireBytesMeasurement {
    private static final int SERVICES = 37;
    private static final int EXCHANGES = 5_000;
    private static final Duration TIMEOUT = Duration.ofSeconds(10);

    private WireBytesMeasurement() {}

    /** Prints a line per reader type and number of backend servers. */
    public static void main(String[] args) throws Exception {
        Path folder = Files.createDirectories(Path.of(args[0]));
        try (ControlFleet fleet = newFleet(folder)) {
            System.out.println(
                    "backends reader first_answer_bytes sent/exchange received/exchange"
                            + " us_both_ends/exchange");
            int announced = 0;
            for (int backends : new int[] {100, 1_000, 4_000}) {
                try (ExchangeClient client = client(fleet)) {
                    for (; announced < backends; announced++) {
                        exchange(client, announced, MembershipCursor.NONE);
                    }
                }
                measure(fleet, backends, true);
                measure(fleet, backends, false);
            }
        }
        System.exit(0);
    }

    private static ControlFleet newFleet(Path folder) throws IOException {
        // Each sidecar exchanges only once. No sidecar may time out while the readers are measured.
        return new ControlFleet(folder, 1).vanishAfter(Duration.ofMinutes(10)).startAll();
    }

    private static ExchangeClient client(ControlFleet fleet) {
        return new ExchangeClient(List.of(fleet.address("c1")), TIMEOUT);
    }

    private static void measure(ControlFleet fleet, int backends, boolean router) throws Exception {
        try (ExchangeClient client = client(fleet)) {
            int reader = router ? -1 : 0;
            MembershipCursor cursor =
                    exchange(client, reader, MembershipCursor.NONE).membership().cursor();
            long first = client.bytesReceived();
            long sent = client.bytesSent();
            long cpu = cpuNanos();
            for (int i = 0; i < EXCHANGES; i++) {
                cursor = exchange(client, reader, cursor).membership().cursor();
            }
            System.out.printf(
                    "%d %s %d %d %d %d%n",
                    backends,
                    router ? "router" : "sidecar",
                    first,
                    (client.bytesSent() - sent) / EXCHANGES,
                    (client.bytesReceived() - first) / EXCHANGES,
                    (cpuNanos() - cpu) / 1_000 / EXCHANGES);
        }
    }

    private static long cpuNanos() {
        return ((OperatingSystemMXBean) ManagementFactory.getOperatingSystemMXBean())
                .getProcessCpuTime();
    }

    private static ExchangeAnswer exchange(ExchangeClient client, int id, MembershipCursor cursor)
            throws Exception {
        if (id < 0) {
            RouterReport report =
                    new RouterReport("router-1", 1, "bergen", "vestkyst", "10.0.1.1:80", "");
            return client.exchange(
                            report,
                            cursor,
                            0,
                            CrashReport.NONE,
                            LoadReport.NONE,
                            ContentionReport.NONE)
                    .get();
        }
        Backend b =
                new Backend(
                        new BackendRef("worker-" + id, 1),
                        "service-" + id % SERVICES,
                        "bergen",
                        "vestkyst",
                        "10.0.0.1:4000",
                        Backend.State.SERVING,
                        1,
                        1);
        return client.exchange(new SidecarReport(b, 5_000, 12, 1), cursor, 0).get();
    }
}
