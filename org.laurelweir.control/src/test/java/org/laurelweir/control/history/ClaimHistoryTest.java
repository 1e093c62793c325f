package org.laurelweir.control.history;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.laurelweir.control.history.RecordedCalls.Call;
import org.laurelweir.coordination.Command;
import org.laurelweir.coordination.CommandResult;
import org.laurelweir.coordination.CommandResult.ClaimResult;
import org.laurelweir.lib.AttemptId;
import org.laurelweir.lib.BackendRef;

/**
 * Tests that an idempotency key has at most one holder at a time while instances crash and are
 * partitioned.
 */
class ClaimHistoryTest {
    private static final int ROUTERS = 4;
    private static final int CLAIMS = 20;
    private static final Duration RETENTION = Duration.ofHours(1);

    // Four routers claim a few keys for retries of the same caller's requests. A router whose claim
    // conflicts with another attempt may find that the attempt never started, and replace it by
    // name. However often claims are resent and leaders change, each holder must have replaced
    // exactly the one before, and no router may be told that it holds a key after it was replaced.
    @Property(tries = 40, seed = "1502")
    void keyHasOneHolderAtATime(@ForAll long seed) {
        SimulatedControls controls = new SimulatedControls(3, seed);
        RecordedCalls calls = new RecordedCalls(controls);
        for (int router = 0; router < ROUTERS; router++) {
            claimNext(controls, calls, router, CLAIMS, null);
        }
        SettingsHistoryTest.injectFaults(controls, 12);
        controls.run(12_000);
        controls.heal();
        controls.runUntil(() -> calls.mCompleted.size() == ROUTERS * CLAIMS);
        assertThat(calls.mCompleted).hasSize(ROUTERS * CLAIMS);
        for (List<Call> callsForKey : byKey(calls.mCompleted).values()) {
            verify(callsForKey);
        }
    }

    private static void claimNext(
            SimulatedControls controls,
            RecordedCalls calls,
            int router,
            int remaining,
            Command.Claim previous) {
        if (remaining == 0) {
            return;
        }
        String key = previous == null ? "key-" + controls.mRandom.nextInt(5) : previous.key();
        AttemptId replaces = previous == null ? null : previous.replaces();
        Command.Claim claim =
                new Command.Claim(
                        Instant.EPOCH,
                        "account",
                        key,
                        "service",
                        7,
                        new AttemptId("r" + router, 1, remaining, 1),
                        new BackendRef("w" + router, 1),
                        replaces,
                        RETENTION);
        calls.execute(
                claim,
                (c, result) ->
                        controls.after(
                                controls.mRandom.nextInt(100),
                                () ->
                                        claimNext(
                                                controls,
                                                calls,
                                                router,
                                                remaining - 1,
                                                replacing(controls, claim, result))));
    }

    /**
     * Returns, for half of the conflicting claims, a claim that replaces the current holder,
     * otherwise null.
     */
    private static Command.Claim replacing(
            SimulatedControls controls, Command.Claim c, CommandResult result) {
        AttemptId holder = ((ClaimResult) result).holder();
        if (holder.equals(c.attempt()) || controls.mRandom.nextBoolean()) {
            return null;
        }
        return new Command.Claim(
                c.timestamp(),
                c.account(),
                c.key(),
                c.service(),
                c.fingerprint(),
                c.attempt(),
                c.target(),
                holder,
                c.retention());
    }

    private static Map<String, List<Call>> byKey(List<Call> calls) {
        Map<String, List<Call>> byKey = new HashMap<>();
        for (Call c : calls) {
            byKey.computeIfAbsent(((Command.Claim) c.command()).key(), k -> new ArrayList<>())
                    .add(c);
        }
        return byKey;
    }

    /**
     * Verifies that the holders of a key form one chain, in which each claim names the holder that
     * it replaces.
     */
    private static void verify(List<Call> calls) {
        Map<AttemptId, AttemptId> replacedBy = new HashMap<>();
        Set<AttemptId> firstHolders = new HashSet<>();
        for (Call c : calls) {
            Command.Claim claim = (Command.Claim) c.command();
            if (!claim.attempt().equals(((ClaimResult) c.result()).holder())) {
                continue;
            }
            if (claim.replaces() == null) {
                firstHolders.add(claim.attempt());
            } else {
                AttemptId other = replacedBy.put(claim.replaces(), claim.attempt());
                assertThat(other).as("two replaced %s", claim.replaces()).isNull();
            }
        }
        // The set may be empty: the first holder may have been replaced before it received its
        // answer.
        assertThat(firstHolders).hasSizeLessThanOrEqualTo(1);
        verifyNoHolderAfterItsReplacement(calls, replacedBy);
    }

    private static void verifyNoHolderAfterItsReplacement(
            List<Call> calls, Map<AttemptId, AttemptId> replacedBy) {
        for (Call later : calls) {
            AttemptId holder = ((ClaimResult) later.result()).holder();
            AttemptId successor = replacedBy.get(holder);
            for (Call c : calls) {
                boolean succeeded = ((Command.Claim) c.command()).attempt().equals(successor);
                assertThat(succeeded && c.completedAt() < later.startedAt())
                        .as("%s is told to hold after %s replaced it", holder, successor)
                        .isFalse();
            }
        }
    }
}
