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
final class Arrivals {
    private final BackendRef mSelf;
    private final AttemptTable mTable;
    private final AttemptMemory mMemory;
    private final Followers mFollowers;
    private final FrameSender mFrames;
    private final OutputTotal mOutputTotal;

    Arrivals(
            BackendRef self,
            AttemptTable table,
            AttemptMemory memory,
            Followers followers,
            FrameSender frames,
            OutputTotal outputTotal) {
        mSelf = self;
        mTable = table;
        mMemory = memory;
        mFollowers = followers;
        mFrames = frames;
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
            mFollowers.followAgain(step, held, stream);
            return null;
        }
        AttemptMemory.Past past = mMemory.find(request.id());
        if (past != AttemptMemory.Past.UNKNOWN) {
            answerPast(step, stream, request.id(), past);
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
            answerPast(step, event.stream(), id, AttemptMemory.Past.FORGOTTEN);
            return;
        }
        Attempt held = mTable.find(id);
        if (held != null) {
            mFollowers.resume(step, held, event.stream(), event.offset());
            return;
        }
        AttemptMemory.Past past = mMemory.find(id);
        if (past == AttemptMemory.Past.UNKNOWN) {
            // The message that begins it may still be under way on the connection that was given
            // up. Saying "not run" has to make it true.
            mMemory.put(step.now(), id, AttemptMemory.Past.NEVER_STARTED);
            past = AttemptMemory.Past.NEVER_STARTED;
        }
        answerPast(step, event.stream(), id, past);
    }

    /**
     * Takes a revocation: an attempt that has not started by now never will.
     *
     * @return the attempt that waits and has to be refused, else null; the answer is emitted
     */
    Attempt revoke(Step step, SidecarEvent.AttemptRevoked event) {
        AttemptId id = event.attempt();
        Attempt held = event.target().equals(mSelf) ? mTable.find(id) : null;
        step.emit(new SidecarEffect.AnswerRevoke(event.call(), revoked(step, event, held), mSelf));
        return held != null && held.phase() == Attempt.Phase.WAITING ? held : null;
    }

    private AttemptState revoked(Step step, SidecarEvent.AttemptRevoked event, Attempt held) {
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
        AttemptMemory.Past past = mMemory.find(event.attempt());
        if (past == AttemptMemory.Past.UNKNOWN) {
            mMemory.put(step.now(), event.attempt(), AttemptMemory.Past.NEVER_STARTED);
        }
        return switch (past) {
            case UNKNOWN, NEVER_STARTED -> AttemptState.NEVER_STARTED;
            case RAN -> AttemptState.FINISHED;
            case FORGOTTEN -> AttemptState.OTHER_INCARNATION;
        };
    }

    private void answerPast(Step step, long stream, AttemptId id, AttemptMemory.Past past) {
        switch (past) {
            case NEVER_STARTED -> refuse(step, stream, id, ResultCode.REVOKED);
            case RAN -> mFollowers.refuseOffset(step, id, stream);
            default -> {
                String message = "this sidecar can't tell whether the attempt ran";
                Frame unknown = new Frame.Failed(ResultCode.OUTCOME_UNKNOWN, message);
                mFrames.sendLast(step, stream, id, unknown);
            }
        }
    }

    private void refuse(Step step, long stream, AttemptId id, ResultCode code) {
        String message = "refused by " + mSelf.id() + " in incarnation " + mSelf.incarnation();
        Frame refused = new Frame.Refused(code, message, "", Duration.ZERO);
        mFrames.sendLast(step, stream, id, refused);
    }
}
