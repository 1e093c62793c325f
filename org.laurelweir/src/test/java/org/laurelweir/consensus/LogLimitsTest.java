package org.laurelweir.consensus;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import org.junit.jupiter.api.Test;
import org.laurelweir.lib.ResultCode;

/**
 * Tests which proposals a replica accepts and rejects at the limits of its log, its disk queue and
 * its commands.
 */
class LogLimitsTest {
    private static final Duration SECOND = Duration.ofSeconds(1);
    private static final LogLimits LIMITS = TestReplica.CONFIG.logLimits();

    private final ReplicaNetwork mNetwork = new ReplicaNetwork(1, 3);

    private static String command(int bytes) {
        return "x".repeat(bytes);
    }

    /**
     * Proposes a command of a size to the leader. Returns the code of an immediate rejection, or
     * null.
     */
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

    // Guards against a change that is never answered because its command is larger than any log
    // accepts. It has to be rejected before it is in the log, with a code that says that it never
    // fits.
    @Test
    void rejectsOversizedCommandAtOnce() {
        mNetwork.healAndRun(SECOND.multipliedBy(3));
        assertThat(proposeAndGetRejection(LIMITS.maxCommandBytes() + 1))
                .isEqualTo(ResultCode.BODY_TOO_LARGE);
        assertThat(proposeAndGetRejection(LIMITS.maxCommandBytes())).isNull();
    }

    // Guards against unbounded memory use of control: the leader's disk hangs while the other
    // replicas continue and commit. The entries that wait for the disk are limited, and further
    // proposals are rejected until the disk responds.
    @Test
    void leaderWithHangingDiskBoundsItsLog() {
        mNetwork.healAndRun(SECOND.multipliedBy(3));
        TestReplica leader = mNetwork.leader();
        int proposed = 0;
        ResultCode rejection = null;
        while (rejection == null && proposed < 100) {
            rejection = proposeAndGetRejection(1_000);
            proposed++;
        }
        assertThat(rejection).isEqualTo(ResultCode.OVERLOADED);
        assertThat(leader.mReducer.logBytes()).isLessThanOrEqualTo(LIMITS.maxLogBytes());
    }

    // Guards against lost commands and unbounded memory use when a follower pauses while many large
    // commands are accepted, and resumes later. Unanswered messages to the follower are limited; it
    // gets the remaining entries step by step, or a snapshot.
    @Test
    void pausedFollowerCatchesUpWithinLimits() {
        mNetwork.healAndRun(SECOND.multipliedBy(3));
        TestReplica paused =
                mNetwork.running().stream()
                        .filter(r -> r != mNetwork.leader())
                        .findFirst()
                        .orElseThrow();
        paused.mIsPaused = true;
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
        int maxMessageBytes = 32 << 20;
        assertThat(LogLimits.ofHeap(Long.MAX_VALUE).maxCommandBytes()).isLessThan(maxMessageBytes);
    }
}
