package org.laurelweir.admission;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import org.junit.jupiter.api.Test;
import org.laurelweir.attempt.AttemptState;
import org.laurelweir.attempt.Frame;
import org.laurelweir.lib.AttemptId;
import org.laurelweir.lib.BackendRef;
import org.laurelweir.lib.ResultCode;

/** What the sidecar may still say about attempts that it has forgotten. */
class AttemptMemoryTest {
    private static final BackendRef SELF = new BackendRef("engine-1", 1);
    private static final Duration RETENTION_EXCEEDED = Duration.ofMinutes(66);
    private static final AttemptId ID = Requests.id(5);

    private final SidecarDriver mSidecar = new SidecarDriver();

    private AttemptState revoke(AttemptId id) {
        mSidecar.step(new SidecarEvent.AttemptRevoked(1, id, SELF));
        return mSidecar.take(SidecarEffect.AnswerRevoke.class).get(0).state();
    }

    // An attempt ran, its output was dropped, and more than any deadline later its id was dropped
    // too. A router that was stopped all the while revokes it. "Never started" would be a lie.
    @Test
    void forgottenAttemptIsNotReportedAsNeverStarted() {
        mSidecar.begin(Requests.request(5));
        mSidecar.answerAttempt(ID, new byte[3]);
        mSidecar.advance(RETENTION_EXCEEDED);
        assertThat(revoke(ID)).isEqualTo(AttemptState.FINISHED);
        mSidecar.advance(RETENTION_EXCEEDED);
        assertThat(revoke(ID)).isEqualTo(AttemptState.OTHER_INCARNATION);
    }

    // The same, but what arrives so late is the message that begins a revoked attempt. Neither may
    // it start, nor may the sidecar say that it was not run, for it can't tell any more.
    @Test
    void forgottenAttemptNeverStarts() {
        revoke(ID);
        mSidecar.advance(RETENTION_EXCEEDED);
        Frame.Failed failed =
                (Frame.Failed) mSidecar.takeLastFrame(mSidecar.begin(Requests.request(5)));
        assertThat(failed.code()).isEqualTo(ResultCode.OUTCOME_UNKNOWN);
    }

    @Test
    void newerRequestsOfTheSameRouterStart() {
        revoke(ID);
        mSidecar.advance(RETENTION_EXCEEDED);
        mSidecar.begin(Requests.request(6));
        assertThat(mSidecar.take(SidecarEffect.StartEngineCall.class)).hasSize(1);
    }

    // More attempts are denied than the memory holds. The oldest id goes before its time; its late
    // message must still not start it.
    @Test
    void idEvictedFromAFullMemoryCannotStart() {
        AttemptMemory memory = new AttemptMemory(RETENTION_EXCEEDED, 2, 10);
        for (long request = 1; request <= 3; request++) {
            memory.put(Instant.EPOCH, Requests.id(request), AttemptMemory.Outcome.NEVER_STARTED);
        }
        assertThat(memory.size()).isEqualTo(2);
        assertThat(memory.find(Requests.id(1))).isEqualTo(AttemptMemory.Outcome.FORGOTTEN);
    }
}
