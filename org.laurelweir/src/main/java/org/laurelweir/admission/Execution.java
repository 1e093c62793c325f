package org.laurelweir.admission;

import org.laurelweir.attempt.Frame;
import org.laurelweir.lib.ResultCode;

/**
 * Runs attempts on the backend server and passes the answers on. Events about an attempt that is
 * not running are dropped.
 */
final class Execution {
    private final AttemptTable mTable;
    private final AttemptFinisher mFinisher;
    private final FollowingStreams mStreams;
    private final FrameSender mFrameSender;
    private final RunningLoad mLoad;
    private final OutputLimiter mOutputLimiter;
    private final EngineNotices mNotices;

    Execution(
            AttemptTable table,
            AttemptFinisher finisher,
            FollowingStreams streams,
            FrameSender frameSender,
            RunningLoad load,
            OutputLimiter outputLimiter,
            EngineNotices notices) {
        mTable = table;
        mFinisher = finisher;
        mStreams = streams;
        mFrameSender = frameSender;
        mLoad = load;
        mOutputLimiter = outputLimiter;
        mNotices = notices;
    }

    /** Sends a waiting attempt to the backend server. */
    void start(Step step, Attempt attempt) {
        step.emit(new SidecarEffect.StartEngineCall(attempt.request()));
        attempt.start(step.now());
        mTable.markChanged(attempt);
        mLoad.add(attempt.work());
        mFrameSender.send(step, attempt, new Frame.Accepted(0));
    }

    void onHead(Step step, SidecarEvent.EngineHeadReceived event, SidecarSettings settings) {
        Attempt a = mTable.findRunning(event.attempt());
        if (a == null) {
            return;
        }
        if (isRefusal(a, event.status(), settings)) {
            step.emit(new SidecarEffect.CancelEngineCall(a.id()));
            String message = "the backend server answered " + event.status();
            mFinisher.refuse(step, a, refusal(step, message));
            return;
        }
        mStreams.sendHead(step, a, event.status(), event.headers());
    }

    /**
     * Returns whether a status means that the backend server did not run the call. This holds only
     * for a documented status and only for an idempotent call: if the backend server returns such a
     * status although it ran the call, the second run is harmless.
     */
    private static boolean isRefusal(Attempt attempt, int status, SidecarSettings settings) {
        return attempt.request().idempotent() && settings.refusalStatuses().contains(status);
    }

    void onData(Step step, SidecarEvent.EngineDataReceived event, SidecarSettings settings) {
        Attempt a = mTable.findRunning(event.attempt());
        if (a == null || a.head() == null || event.bytes().length == 0) {
            return;
        }
        Frame.Data piece = a.output().append(event.bytes());
        mFrameSender.send(step, a, piece);
        mOutputLimiter.onOutputAdded(step, a, settings.output());
    }

    void onFinished(Step step, SidecarEvent.EngineFinished event) {
        Attempt a = mTable.findRunning(event.attempt());
        if (a == null) {
            return;
        }
        if (a.head() == null) {
            fail(step, a, ResultCode.BACKEND_FAILED, "the backend server did not answer");
            return;
        }
        mFinisher.finish(step, a, new Frame.End(a.output().end(), event.usage()));
    }

    void onFailed(Step step, SidecarEvent.EngineFailed event) {
        Attempt a = mTable.findRunning(event.attempt());
        if (a == null) {
            return;
        }
        if (!event.possiblySent() && a.head() == null) {
            mFinisher.refuse(step, a, refusal(step, event.message()));
            return;
        }
        ResultCode code = a.head() == null ? ResultCode.BACKEND_FAILED : ResultCode.ANSWER_CUT;
        fail(step, a, code, event.message());
    }

    /** Aborts a running attempt. */
    void abort(Step step, Attempt attempt, ResultCode code, String message) {
        step.emit(new SidecarEffect.CancelEngineCall(attempt.id()));
        fail(step, attempt, code, message);
    }

    private void fail(Step step, Attempt attempt, ResultCode code, String message) {
        mFinisher.finish(step, attempt, new Frame.Failed(code, message));
    }

    private Frame.Refused refusal(Step step, String message) {
        return new Frame.Refused(
                ResultCode.BACKEND_REFUSED, message, "", mNotices.backoffLeft(step.now()));
    }
}
