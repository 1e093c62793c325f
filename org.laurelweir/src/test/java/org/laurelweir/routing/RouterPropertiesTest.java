package org.laurelweir.routing;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import org.laurelweir.attempt.AttemptRequest;
import org.laurelweir.lib.ResultCode;

/**
 * What holds for every caller, whatever messages are lost, doubled, late or crossed, whichever
 * streams go silent or end, and whenever sidecars restart.
 */
class RouterPropertiesTest {
    private static final int REQUESTS = 14;
    private static final int FAULTY_STEPS = 2_500;
    private static final int MAX_STEPS = 40_000;

    // The caller sends one request and waits; the same key may go to both routers. Meanwhile a seed
    // breaks streams in either direction at any step, loses claims and revocations, restarts
    // sidecars, has engines fail and callers hang up. Then the faults end, and whoever still waits
    // must be answered: nothing but the router's own timers can free it from a silent stream.
    @Property(seed = "20261202", tries = 1_000, shrinking = ShrinkingMode.OFF)
    void callersGetOneAnswerThatMatchesTheExecutions(@ForAll long seed) {
        FakeFleet fleet = new FakeFleet(seed);
        run(fleet, new Random(seed));
        for (int i = 0; i < fleet.mCallers.size(); i++) {
            checkCaller(fleet, i);
        }
        checkNonIdempotentExecutions(fleet);
    }

    private static void run(FakeFleet fleet, Random random) {
        fleet.setFaults(random.nextInt(4) * 0.02, random.nextBoolean());
        for (int i = 0; i < FAULTY_STEPS; i++) {
            if (fleet.mCallers.size() < REQUESTS && random.nextInt(60) == 0) {
                sendRandomRequest(fleet, random);
            }
            fleet.step();
        }
        fleet.setFaults(0, false);
        fleet.announceSidecars();
        for (int i = 0; i < MAX_STEPS && !fleet.isSettled(); i++) {
            fleet.step();
        }
    }

    private static void sendRandomRequest(FakeFleet fleet, Random random) {
        int n = fleet.mCallers.size();
        int router = random.nextInt(2);
        switch (random.nextInt(3)) {
            case 0 -> fleet.sendRequest(router, "idempotent " + n, true, "");
            case 1 -> fleet.sendRequest(router, "once " + n, false, "");
            default -> {
                int key = random.nextInt(3);
                String body = (random.nextInt(8) == 0 ? "other " : "keyed ") + key;
                fleet.sendRequest(router, body, false, "key " + key);
            }
        }
    }

    private static void checkCaller(FakeFleet fleet, int index) {
        FakeFleet.Caller c = fleet.mCallers.get(index);
        assertThat(c.mFinalAnswers).as("final answers to %d", index).isEqualTo(c.mGone ? 0 : 1);
        byte[] seen = c.mBytes.toByteArray();
        boolean whole = c.mCode == ResultCode.OK;
        boolean own =
                executionsOfCall(fleet, c).stream()
                        .anyMatch(e -> matchesOutput(e.output(), seen, whole));
        assertThat(own || (seen.length == 0 && !whole)).as("own bytes of %d", index).isTrue();
        if (c.mCode != null && c.mCode.isNotRun()) {
            assertThat(executionsOfRequest(fleet, index))
                    .as("runs of %d, not run", index)
                    .isEmpty();
        }
    }

    private static boolean matchesOutput(byte[] output, byte[] seen, boolean whole) {
        if (whole) {
            return Arrays.equals(output, seen);
        }
        return seen.length <= output.length
                && Arrays.equals(Arrays.copyOf(output, seen.length), seen);
    }

    /** Runs of the same call; each request has a body of its own, but for resends of one key. */
    private static List<FakeSidecar.Execution> executionsOfCall(
            FakeFleet fleet, FakeFleet.Caller c) {
        byte[] body = c.mRequest.call().body();
        return fleet.mExecutions.stream()
                .filter(e -> Arrays.equals(e.request().call().body(), body))
                .toList();
    }

    private static List<FakeSidecar.Execution> executionsOfRequest(FakeFleet fleet, int index) {
        return fleet.mExecutions.stream()
                .filter(e -> e.request().id().request() == index + 1)
                .toList();
    }

    private static void checkNonIdempotentExecutions(FakeFleet fleet) {
        Map<String, Integer> runs = new HashMap<>();
        for (FakeSidecar.Execution e : fleet.mExecutions) {
            AttemptRequest q = e.request();
            if (!q.idempotent()) {
                String body = new String(q.call().body(), StandardCharsets.UTF_8);
                runs.merge(
                        q.idempotencyKey().isEmpty() ? body : q.idempotencyKey(), 1, Integer::sum);
            }
        }
        assertThat(runs.values()).as("runs of what may not be repeated").allMatch(n -> n == 1);
    }

    // Two of three engines fail whatever they begin, so that most requests would be tried again
    // and again. Each caller still gets one final answer, and the attempts beyond the first stay
    // within the budget: an outage adds no more load than that.
    @Property(seed = "20261202", tries = 20, shrinking = ShrinkingMode.OFF)
    void retriesStayWithinTheBudget(@ForAll long seed) {
        FakeFleet fleet = new FakeFleet(seed);
        fleet.breakEngines(2);
        int requests = 300;
        for (int i = 0; i < MAX_STEPS && !(fleet.isSettled() && i > requests); i++) {
            if (i < requests) {
                fleet.sendRequest(i % 2, "idempotent " + i, true, "");
            }
            fleet.step();
        }
        assertThat(fleet.mCallers).hasSize(requests).allMatch(c -> c.mFinalAnswers == 1);
        double budget = 2 * RetryBudget.MAX_TOKENS + requests * FakeFleet.POLICY.retryBudgetShare();
        assertThat((double) fleet.mDeliveredAttempts - requests).isBetween(1.0, budget);
    }
}
