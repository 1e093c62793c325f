package org.laurelweir.consensus;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import org.junit.jupiter.api.Test;
import org.laurelweir.lib.ResultCode;

/** What a replica takes and refuses where its log, its disk or a command has no room. */
class LogLimitsTest {
    private static final Duration SECOND = Duration.ofSeconds(1);
    private static final LogLimits LIMITS = TestReplica.CONFIG.logLimits();

    private final ReplicaNetwork mNetwork = new ReplicaNetwork(1, 3);

    private static String command(int bytes) {
        return "x".repeat(bytes);
    }

    /** Proposes to the leader and returns what it is told at once, or null. */
    private ResultCode proposeAndGetRejection(int bytes) {
        return mNetwork
                .effectsOf(
                        mNetwork.leader(),
                        new ConsensusEvent.Proposed(1 << 20, command(bytes).getBytes()))
                .stream()
                .filter(ConsensusEffect.ProposalRejected.class::isInstance)
                .map(e -> ((ConsensusEffect.ProposalRejected) e).code())
                .findFirst()
                .orElse(null);
    }

    // Operators see: a change that is never answered. Order: a command is larger than any log
    // takes.
    // Why: it is refused before it is in the log, with a code that says that it never fits.
    @Test
    void rejectsOversizedCommandAtOnce() {
        mNetwork.healAndRun(SECOND.multipliedBy(3));
        assertThat(proposeAndGetRejection(LIMITS.maxCommandBytes() + 1))
                .isEqualTo(ResultCode.BODY_TOO_LARGE);
        assertThat(proposeAndGetRejection(LIMITS.maxCommandBytes())).isNull();
    }

    // Operators see: control takes ever more memory. Order: the leader's disk hangs, the others go
    // on and commit. Why: what waits for the disk is bounded, and more is refused until it is back.
    @Test
    void leaderWithHangingDiskBoundsItsLog() {
        mNetwork.healAndRun(SECOND.multipliedBy(3));
        TestReplica leader = mNetwork.leader();
        int taken = 0;
        ResultCode refusal = null;
        while (refusal == null && taken < 100) {
            refusal = proposeAndGetRejection(1_000);
            taken++;
        }
        assertThat(refusal).isEqualTo(ResultCode.OVERLOADED);
        assertThat(leader.mReducer.logBytes()).isLessThanOrEqualTo(LIMITS.maxLogBytes());
    }

    // Callers see: nothing; all that was accepted is on every replica. Order: one follower stands
    // still while many large commands are accepted, and comes back. Why: what is under way to it is
    // bounded, and it gets the rest by and by or a snapshot.
    @Test
    void pausedFollowerCatchesUpWithinLimits() {
        mNetwork.healAndRun(SECOND.multipliedBy(3));
        TestReplica late =
                mNetwork.running().stream()
                        .filter(r -> r != mNetwork.leader())
                        .findFirst()
                        .orElseThrow();
        late.mIsPaused = true;
        for (int i = 0; i < 12; i++) {
            mNetwork.propose(mNetwork.leader(), i + command(3_000));
            mNetwork.run(Duration.ofMillis(200));
            assertThat(mNetwork.leader().mReducer.logBytes()).isLessThan(LIMITS.maxLogBytes());
        }
        mNetwork.healAndRun(SECOND.multipliedBy(200));
        assertThat(mNetwork.mChecker.acceptedCount()).isEqualTo(12);
        assertThat(mNetwork.isFullyReplicated()).isTrue();
    }

    @Test
    void snapshotIsDueBeforeLogIsFull() {
        assertThat(LIMITS.snapshotThresholdBytes(0)).isEqualTo(LIMITS.snapshotIntervalBytes());
        assertThat(LIMITS.snapshotThresholdBytes(Integer.MAX_VALUE))
                .isLessThan(LIMITS.maxLogBytes());
    }

    @Test
    void maxCommandFitsIntoMessageForAnyHeap() {
        int largestMessage = 32 << 20;
        assertThat(LogLimits.ofHeap(Long.MAX_VALUE).maxCommandBytes()).isLessThan(largestMessage);
    }
}
