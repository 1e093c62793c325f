package org.laurelweir.admission;

import java.time.Duration;
import org.laurelweir.attempt.AttemptRequest;
import org.laurelweir.attempt.AttemptState;
import org.laurelweir.attempt.Frame;
import org.laurelweir.lib.AttemptId;
import org.laurelweir.lib.BackendRef;
import org.laurelweir.lib.ResultCode;

/**
 * Handles the messages of routers that request, resume or revoke attempts. Tells a new attempt from
 * one that this sidecar holds or held before, so that no attempt runs twice and none runs after a
 * router was told that it was not run.
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
            FollowingStreams streams,
            FrameSender frameSender,
            OutputTotal outputTotal) {
        mSelf = self;
        mTable = table;
        mMemory = memory;
        mStreams = streams;
        mFrameSender = frameSender;
        mOutputTotal = outputTotal;
    }

    /**
     * Handles a request for an attempt.
     *
     * @return the new attempt, for which admission has to decide; null if the message is answered
     *     here
     */
    Attempt request(Step step, long stream, AttemptRequest request) {
        if (!request.target().equals(mSelf)) {
            refuse(step, stream, request.id(), ResultCode.OTHER_INCARNATION);
            return null;
        }
        Attempt held = mTable.find(request.id());
        if (held != null) {
            mStreams.followOnRepeatedRequest(step, held, stream);
            return null;
        }
        AttemptMemory.Outcome outcome = mMemory.find(request.id());
        if (outcome != AttemptMemory.Outcome.UNKNOWN) {
            replyFromMemory(step, stream, request.id(), outcome);
            return null;
        }
        Attempt attempt = new Attempt(request, step.now(), mOutputTotal);
        mTable.add(attempt);
        mTable.follow(attempt, stream, false);
        return attempt;
    }

    /** Handles a request to follow an attempt over a new stream. */
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
        AttemptMemory.Outcome outcome = mMemory.find(id);
        if (outcome == AttemptMemory.Outcome.UNKNOWN) {
            // The request for this attempt may still be under way on a connection that the router
            // has closed. It is recorded as never started, so that the reply "not run" stays true
            // when the request arrives.
            mMemory.put(step.now(), id, AttemptMemory.Outcome.NEVER_STARTED);
            outcome = AttemptMemory.Outcome.NEVER_STARTED;
        }
        replyFromMemory(step, event.stream(), id, outcome);
    }

    /**
     * Handles a revocation. An attempt that has not started yet never starts after it.
     *
     * @return the waiting attempt, which the caller has to refuse, or null; the reply is already
     *     emitted
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
        AttemptMemory.Outcome outcome = mMemory.find(event.attempt());
        if (outcome == AttemptMemory.Outcome.UNKNOWN) {
            mMemory.put(step.now(), event.attempt(), AttemptMemory.Outcome.NEVER_STARTED);
        }
        return switch (outcome) {
            case UNKNOWN, NEVER_STARTED -> AttemptState.NEVER_STARTED;
            case RAN -> AttemptState.FINISHED;
            case FORGOTTEN -> AttemptState.OTHER_INCARNATION;
        };
    }

    private void replyFromMemory(
            Step step, long stream, AttemptId id, AttemptMemory.Outcome outcome) {
        switch (outcome) {
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
