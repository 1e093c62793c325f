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

/** Replies about attempts that the sidecar has forgotten. */
class AttemptMemoryTest {
    private static final BackendRef SELF = new BackendRef("engine-1", 1);
    private static final Duration MORE_THAN_RETENTION = Duration.ofMinutes(66);
    private static final AttemptId ID = Requests.id(5);

    private final SidecarDriver mSidecar = new SidecarDriver();

    private AttemptState revoke(AttemptId id) {
        mSidecar.step(new SidecarEvent.AttemptRevoked(1, id, SELF));
        return mSidecar.take(SidecarEffect.AnswerRevoke.class).get(0).state();
    }

    // An attempt runs, its output is dropped, and after more than the longest deadline its id is
    // forgotten too. A router that was suspended meanwhile revokes the attempt. The reply "never
    // started" would be wrong.
    @Test
    void forgottenAttemptIsNotReportedAsNeverStarted() {
        mSidecar.requestAttempt(Requests.request(5));
        mSidecar.answerAttempt(ID, new byte[3]);
        mSidecar.advance(MORE_THAN_RETENTION);
        assertThat(revoke(ID)).isEqualTo(AttemptState.FINISHED);
        mSidecar.advance(MORE_THAN_RETENTION);
        assertThat(revoke(ID)).isEqualTo(AttemptState.OTHER_INCARNATION);
    }

    // An attempt is revoked and its id is forgotten. Then the request for the attempt arrives. The
    // sidecar must not start the attempt, and must not report it as not run, since it no longer
    // knows.
    @Test
    void forgottenAttemptNeverStarts() {
        revoke(ID);
        mSidecar.advance(MORE_THAN_RETENTION);
        Frame.Failed failed =
                (Frame.Failed) mSidecar.takeLastFrame(mSidecar.requestAttempt(Requests.request(5)));
        assertThat(failed.code()).isEqualTo(ResultCode.OUTCOME_UNKNOWN);
    }

    @Test
    void newerRequestsOfTheSameRouterStart() {
        revoke(ID);
        mSidecar.advance(MORE_THAN_RETENTION);
        mSidecar.requestAttempt(Requests.request(6));
        assertThat(mSidecar.take(SidecarEffect.StartEngineCall.class)).hasSize(1);
    }

    // More attempts are refused than the memory holds, so the oldest id is evicted early. A late
    // request for that attempt must not start it.
    @Test
    void idEvictedFromAFullMemoryCannotStart() {
        AttemptMemory memory = new AttemptMemory(MORE_THAN_RETENTION, 2, 10);
        for (long request = 1; request <= 3; request++) {
            memory.put(Instant.EPOCH, Requests.id(request), AttemptMemory.Outcome.NEVER_STARTED);
        }
        assertThat(memory.size()).isEqualTo(2);
        assertThat(memory.find(Requests.id(1))).isEqualTo(AttemptMemory.Outcome.FORGOTTEN);
    }
}
