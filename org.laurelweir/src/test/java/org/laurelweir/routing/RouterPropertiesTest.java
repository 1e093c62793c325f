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
 * Tests what every caller can rely on while messages are lost, duplicated, delayed or misrouted,
 * streams go silent or end, and sidecars restart.
 */
class RouterPropertiesTest {
    private static final int REQUESTS = 14;
    private static final int FAULTY_STEPS = 2_500;
    private static final int MAX_STEPS = 40_000;

    // Guards against callers that receive no answer, several answers, or an answer that does not
    // match what engines ran. Each caller sends one request; requests with the same key may go to
    // both routers. A seed breaks streams in either direction at any step, loses claims and
    // revocations, restarts sidecars, makes engines fail and disconnects callers. Then the faults
    // end, and every caller still waiting must receive an answer: on a silent stream, only the
    // router's own timers can cause it.
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
        int count = fleet.mCallers.size();
        int router = random.nextInt(2);
        switch (random.nextInt(3)) {
            case 0 -> fleet.sendRequest(router, "idempotent " + count, true, "");
            case 1 -> fleet.sendRequest(router, "once " + count, false, "");
            default -> {
                int key = random.nextInt(3);
                String body = (random.nextInt(8) == 0 ? "other " : "keyed ") + key;
                fleet.sendRequest(router, body, false, "key " + key);
            }
        }
    }

    private static void checkCaller(FakeFleet fleet, int index) {
        FakeFleet.Caller caller = fleet.mCallers.get(index);
        assertThat(caller.mFinalAnswers)
                .as("final answers to caller %d", index)
                .isEqualTo(caller.mGone ? 0 : 1);
        byte[] received = caller.mBytes.toByteArray();
        boolean complete = caller.mCode == ResultCode.OK;
        boolean matchesExecution =
                executionsOfCall(fleet, caller).stream()
                        .anyMatch(e -> matchesOutput(e.output(), received, complete));
        assertThat(matchesExecution || (received.length == 0 && !complete))
                .as("bytes received by caller %d match an execution of its call", index)
                .isTrue();
        if (caller.mCode != null && caller.mCode.isNotRun()) {
            assertThat(executionsOfRequest(fleet, index))
                    .as("executions of request %d, which was answered as not run", index)
                    .isEmpty();
        }
    }

    private static boolean matchesOutput(byte[] output, byte[] received, boolean complete) {
        if (complete) {
            return Arrays.equals(output, received);
        }
        return received.length <= output.length
                && Arrays.equals(Arrays.copyOf(output, received.length), received);
    }

    /**
     * Returns the executions of the same call. Each request has its own body, except for resends of
     * one key.
     */
    private static List<FakeSidecar.Execution> executionsOfCall(
            FakeFleet fleet, FakeFleet.Caller caller) {
        byte[] body = caller.mRequest.call().body();
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
        Map<String, Integer> executions = new HashMap<>();
        for (FakeSidecar.Execution e : fleet.mExecutions) {
            AttemptRequest request = e.request();
            if (!request.idempotent()) {
                String body = new String(request.call().body(), StandardCharsets.UTF_8);
                executions.merge(
                        request.idempotencyKey().isEmpty() ? body : request.idempotencyKey(),
                        1,
                        Integer::sum);
            }
        }
        assertThat(executions.values())
                .as("executions of each request that may not be repeated")
                .allMatch(count -> count == 1);
    }

    // Guards against retries that multiply the load in an outage. Two of three engines fail every
    // request, so that most requests would be retried again and again. Each caller still receives
    // one final answer, and the attempts after the first stay within the retry budget.
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
        assertThat(fleet.mCallers).hasSize(requests).allMatch(caller -> caller.mFinalAnswers == 1);
        double budget = 2 * RetryBudget.MAX_TOKENS + requests * FakeFleet.POLICY.retryBudgetShare();
        assertThat((double) fleet.mDeliveredAttempts - requests).isBetween(1.0, budget);
    }
}
