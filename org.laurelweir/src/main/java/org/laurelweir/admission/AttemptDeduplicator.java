package org.laurelweir.admission;

import java.time.Duration;
import org.laurelweir.attempt.AttemptRequest;
import org.laurelweir.attempt.AttemptState;
import org.laurelweir.attempt.Frame;
import org.laurelweir.lib.AttemptId;
import org.laurelweir.lib.BackendRef;
import org.laurelweir.lib.ResultCode;

/**
 * Takes what routers say about attempts and tells whether each is new, held, or past, so that none
 * ever runs twice and none runs after it was denied.
 */
final class AttemptDeduplicator {
    private final BackendRef mSelf;
    private final AttemptTable mTable;
    private final AttemptMemory mMemory;
    private final FollowingStreams mStreams;
    private final FrameSender mFrameSender;
    private final OutputTotal mOutputTotal;

    AttemptDeduplicator(
            BackendRef self,
            AttemptTable table,
            AttemptMemory memory,
            FollowingStreams followers,
            FrameSender frames,
            OutputTotal outputTotal) {
        mSelf = self;
        mTable = table;
        mMemory = memory;
        mStreams = followers;
        mFrameSender = frames;
        mOutputTotal = outputTotal;
    }

    /**
     * Takes a message that begins an attempt.
     *
     * @return the attempt where it is new and has to be placed, else null
     */
    Attempt begin(Step step, long stream, AttemptRequest request) {
        if (!request.target().equals(mSelf)) {
            refuse(step, stream, request.id(), ResultCode.OTHER_INCARNATION);
            return null;
        }
        Attempt held = mTable.find(request.id());
        if (held != null) {
            mStreams.followOnRepeatedRequest(step, held, stream);
            return null;
        }
        AttemptMemory.Outcome past = mMemory.find(request.id());
        if (past != AttemptMemory.Outcome.UNKNOWN) {
            replyFromMemory(step, stream, request.id(), past);
            return null;
        }
        Attempt attempt = new Attempt(request, step.now(), mOutputTotal);
        mTable.add(attempt);
        mTable.follow(attempt, stream, false);
        return attempt;
    }

    /** Takes a message that follows an attempt over a new stream. */
    void resume(Step step, SidecarEvent.AttemptResumed event) {
        AttemptId id = event.attempt();
        if (!event.target().equals(mSelf)) {
            replyFromMemory(step, event.stream(), id, AttemptMemory.Outcome.FORGOTTEN);
            return;
        }
        Attempt held = mTable.find(id);
        if (held != null) {
            mStreams.resume(step, held, event.stream(), event.offset());
            return;
        }
        AttemptMemory.Outcome past = mMemory.find(id);
        if (past == AttemptMemory.Outcome.UNKNOWN) {
            // The message that begins it may still be under way on the connection that was given
            // up. Saying "not run" has to make it true.
            mMemory.put(step.now(), id, AttemptMemory.Outcome.NEVER_STARTED);
            past = AttemptMemory.Outcome.NEVER_STARTED;
        }
        replyFromMemory(step, event.stream(), id, past);
    }

    /**
     * Takes a revocation: an attempt that has not started by now never will.
     *
     * @return the attempt that waits and has to be refused, else null; the answer is emitted
     */
    Attempt revoke(Step step, SidecarEvent.AttemptRevoked event) {
        AttemptId id = event.attempt();
        Attempt held = event.target().equals(mSelf) ? mTable.find(id) : null;
        step.emit(
                new SidecarEffect.AnswerRevoke(
                        event.call(), revokedState(step, event, held), mSelf));
        return held != null && held.phase() == Attempt.Phase.WAITING ? held : null;
    }

    private AttemptState revokedState(Step step, SidecarEvent.AttemptRevoked event, Attempt held) {
        if (!event.target().equals(mSelf)) {
            return AttemptState.OTHER_INCARNATION;
        }
        if (held != null) {
            return switch (held.phase()) {
                case WAITING -> AttemptState.NEVER_STARTED;
                case RUNNING -> AttemptState.RUNNING;
                case ENDED -> AttemptState.FINISHED;
            };
        }
        AttemptMemory.Outcome past = mMemory.find(event.attempt());
        if (past == AttemptMemory.Outcome.UNKNOWN) {
            mMemory.put(step.now(), event.attempt(), AttemptMemory.Outcome.NEVER_STARTED);
        }
        return switch (past) {
            case UNKNOWN, NEVER_STARTED -> AttemptState.NEVER_STARTED;
            case RAN -> AttemptState.FINISHED;
            case FORGOTTEN -> AttemptState.OTHER_INCARNATION;
        };
    }

    private void replyFromMemory(Step step, long stream, AttemptId id, AttemptMemory.Outcome past) {
        switch (past) {
            case NEVER_STARTED -> refuse(step, stream, id, ResultCode.REVOKED);
            case RAN -> mStreams.sendOutputNotKept(step, id, stream);
            default -> {
                String message = "this sidecar can't tell whether the attempt ran";
                Frame unknown = new Frame.Failed(ResultCode.OUTCOME_UNKNOWN, message);
                mFrameSender.sendLast(step, stream, id, unknown);
            }
        }
    }

    private void refuse(Step step, long stream, AttemptId id, ResultCode code) {
        String message = "refused by " + mSelf.id() + " in incarnation " + mSelf.incarnation();
        Frame refused = new Frame.Refused(code, message, "", Duration.ZERO);
        mFrameSender.sendLast(step, stream, id, refused);
    }
}
