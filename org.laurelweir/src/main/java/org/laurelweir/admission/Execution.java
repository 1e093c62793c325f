package org.laurelweir.admission;

import java.time.Duration;
import org.laurelweir.attempt.Frame;
import org.laurelweir.lib.ResultCode;

/**
 * Runs attempts on the backend server and passes its answers on. Whatever the backend server says
 * about an attempt that does not run (any more) is dropped.
 */
final class Execution {
    private final AttemptTable mTable;
    private final Endings mEndings;
    private final Followers mFollowers;
    private final FrameSender mFrames;
    private final RunningLoad mLoad;
    private final OutputControl mOutput;

    Execution(
            AttemptTable table,
            Endings endings,
            Followers followers,
            FrameSender frames,
            RunningLoad load,
            OutputControl output) {
        mTable = table;
        mEndings = endings;
        mFollowers = followers;
        mFrames = frames;
        mLoad = load;
        mOutput = output;
    }

    /** Sends a waiting attempt to the backend server. */
    void start(Step step, Attempt attempt) {
        step.emit(new SidecarEffect.StartEngineCall(attempt.request()));
        attempt.start(step.now());
        mTable.changed(attempt);
        mLoad.add(attempt.work());
        mFrames.send(step, attempt, new Frame.Accepted(0));
    }

    void answered(Step step, SidecarEvent.EngineHeadReceived event, SidecarSettings settings) {
        Attempt a = mTable.findRunning(event.attempt());
        if (a == null) {
            return;
        }
        if (isRefusal(a, event.status(), settings)) {
            step.emit(new SidecarEffect.CancelEngineCall(a.id()));
            String message = "the backend server answered " + event.status();
            mEndings.refuse(step, a, refusal(message));
            return;
        }
        mFollowers.sendHead(step, a, event.status(), event.headers());
    }

    /**
     * Returns whether a status means that the call was not run. Only a documented status does, and
     * only for a call that may run twice: a backend server that breaks its own promise then causes
     * a second run of something harmless, never of an order.
     */
    private static boolean isRefusal(Attempt attempt, int status, SidecarSettings settings) {
        return attempt.request().idempotent() && settings.refusalStatuses().contains(status);
    }

    void sent(Step step, SidecarEvent.EngineDataReceived event, SidecarSettings settings) {
        Attempt a = mTable.findRunning(event.attempt());
        if (a == null || a.head() == null || event.bytes().length == 0) {
            return;
        }
        Frame.Data piece = a.output().append(event.bytes());
        mFrames.send(step, a, piece);
        mOutput.grown(step, a, settings.output());
    }

    void finished(Step step, SidecarEvent.EngineFinished event) {
        Attempt a = mTable.findRunning(event.attempt());
        if (a == null) {
            return;
        }
        if (a.head() == null) {
            fail(step, a, ResultCode.BACKEND_FAILED, "the backend server did not answer");
            return;
        }
        mEndings.end(step, a, new Frame.End(a.output().end(), event.usage()));
    }

    void failed(Step step, SidecarEvent.EngineFailed event) {
        Attempt a = mTable.findRunning(event.attempt());
        if (a == null) {
            return;
        }
        if (!event.possiblySent() && a.head() == null) {
            mEndings.refuse(step, a, refusal(event.message()));
            return;
        }
        ResultCode code = a.head() == null ? ResultCode.BACKEND_FAILED : ResultCode.ANSWER_CUT;
        fail(step, a, code, event.message());
    }

    /** Gives up an attempt that runs. */
    void cancel(Step step, Attempt attempt, ResultCode code, String message) {
        step.emit(new SidecarEffect.CancelEngineCall(attempt.id()));
        fail(step, attempt, code, message);
    }

    private void fail(Step step, Attempt attempt, ResultCode code, String message) {
        mEndings.end(step, attempt, new Frame.Failed(code, message));
    }

    private static Frame.Refused refusal(String message) {
        return new Frame.Refused(ResultCode.BACKEND_REFUSED, message, "", Duration.ZERO);
    }
}
