package org.laurelweir.control;

import com.google.common.util.concurrent.FutureCallback;
import com.google.common.util.concurrent.Futures;
import com.google.common.util.concurrent.MoreExecutors;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;
import org.laurelweir.wire.v1.AttemptId;
import org.laurelweir.wire.v1.BackendRef;
import org.laurelweir.wire.v1.ClaimReply;
import org.laurelweir.wire.v1.ClaimRequest;
import org.laurelweir.wire.v1.ControlServiceGrpc.ControlServiceFutureStub;
import org.laurelweir.wire.v1.StatusRequest;

/**
 * Measures claims per second and their latencies over three instances with real connections and
 * synced files. Run by hand: {@code ClaimMeasurement FOLDER CLAIMS}. Each caller claims keys of its
 * own, one after the other.
 */
public final class ClaimMeasurement {
    private static final int INSTANCES = 3;
    private static final int WARM_UP = 5_000;

    private final ControlServiceFutureStub mLeader;
    private final AtomicInteger mKeys = new AtomicInteger();

    private ClaimMeasurement(ControlServiceFutureStub leader) {
        mLeader = leader;
    }

    /** Prints a line per number of callers. */
    public static void main(String[] args) throws IOException, InterruptedException {
        Path folder = Files.createDirectories(Path.of(args[0]));
        int claims = Integer.parseInt(args[1]);
        try (ControlFleet fleet = new ControlFleet(folder, INSTANCES).startAll()) {
            String leader =
                    fleet.ask(
                                    s -> s.status(StatusRequest.getDefaultInstance()),
                                    r -> r.getControls(0).getLeader())
                            .getControls(0)
                            .getName();
            ClaimMeasurement m = new ClaimMeasurement(fleet.futureStub(leader));
            m.run(64, WARM_UP);
            System.out.println("callers claims/s median_ms p95_ms p99_ms");
            for (int callers : new int[] {1, 16, 128, 1024}) {
                m.print(callers, Math.min(claims, callers * 500));
            }
        }
        System.exit(0);
    }

    private void print(int callers, int claims) throws InterruptedException {
        long before = System.nanoTime();
        long[] nanos = run(callers, claims);
        double seconds = (System.nanoTime() - before) / 1e9;
        Arrays.sort(nanos);
        System.out.printf(
                "%d %.0f %.2f %.2f %.2f%n",
                callers,
                nanos.length / seconds,
                nanos[nanos.length / 2] / 1e6,
                nanos[nanos.length * 95 / 100] / 1e6,
                nanos[nanos.length * 99 / 100] / 1e6);
    }

    private long[] run(int callers, int claims) throws InterruptedException {
        long[] nanos = new long[claims];
        AtomicInteger next = new AtomicInteger();
        CountDownLatch ended = new CountDownLatch(claims);
        for (int i = 0; i < callers; i++) {
            claimNext(next, nanos, ended);
        }
        ended.await();
        return nanos;
    }

    private void claimNext(AtomicInteger next, long[] nanos, CountDownLatch ended) {
        int number = next.getAndIncrement();
        if (number >= nanos.length) {
            return;
        }
        long sent = System.nanoTime();
        FutureCallback<ClaimReply> callback =
                new FutureCallback<>() {
                    @Override
                    public void onSuccess(ClaimReply reply) {
                        if (reply.getCode() != 0) {
                            onFailure(new IllegalStateException("code " + reply.getCode()));
                            return;
                        }
                        nanos[number] = System.nanoTime() - sent;
                        ended.countDown();
                        claimNext(next, nanos, ended);
                    }

                    @Override
                    public void onFailure(Throwable failure) {
                        System.err.println("a claim failed, the results are invalid: " + failure);
                        System.exit(1);
                    }
                };
        Futures.addCallback(mLeader.claim(request()), callback, MoreExecutors.directExecutor());
    }

    private ClaimRequest request() {
        int number = mKeys.incrementAndGet();
        return ClaimRequest.newBuilder()
                .setAccount("account-" + number % 100)
                .setKey("order-0123456789abcdef-" + number)
                .setService("havnebok")
                .setFingerprint(number)
                .setAttempt(
                        AttemptId.newBuilder()
                                .setRouter("router-1")
                                .setRouterIncarnation(1)
                                .setRequest(number)
                                .setAttempt(1))
                .setTarget(BackendRef.newBuilder().setId("worker-1").setIncarnation(1))
                .setRetentionMillis(3_600_000)
                .build();
    }
}
