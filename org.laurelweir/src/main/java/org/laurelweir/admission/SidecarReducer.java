package org.laurelweir.admission;

import java.time.Duration;
import java.time.Instant;
import java.util.function.Consumer;
import org.laurelweir.attempt.Frame;
import org.laurelweir.lib.Reducer;
import org.laurelweir.lib.ResultCode;
import org.laurelweir.membership.Backend;
import org.laurelweir.membership.ServiceLoad;

/**
 * Decides everything that a sidecar does. This class only hands events to the part that each
 * concerns; the parts hold the state.
 */
public final class SidecarReducer implements Reducer<SidecarEvent, SidecarEffect> {
    /** Longer than any caller's deadline, which routers limit to less. */
    private static final Duration MEMORY_KEEP = Duration.ofMinutes(30);

    private static final int MAX_REMEMBERED = 50_000;
    private static final int MAX_ROUTER_RUNS = 10_000;

    private final SidecarIdentity mSelf;
    private final RunningLoad mLoad;
    private final Members mMembers;
    private final Drain mDrain = new Drain();
    private final Announcer mAnnouncer;
    private final AttemptTable mTable = new AttemptTable();
    private final AttemptMemory mMemory =
            new AttemptMemory(MEMORY_KEEP, MAX_REMEMBERED, MAX_ROUTER_RUNS);
    private final Followers mFollowers;
    private final Endings mEndings;
    private final OutputControl mOutput;
    private final Execution mExecution;
    private final Timeouts mTimeouts;
    private final Arrivals mArrivals;
    private final Admission mAdmission;
    private SidecarSettings mSettings = SidecarSettings.DEFAULT;
    private boolean mReachable = true;
    private boolean mStopped;

    /**
     * Creates the reducer of an idle sidecar.
     *
     * @param self who the sidecar is
     */
    public SidecarReducer(SidecarIdentity self) {
        mSelf = self;
        mLoad = new RunningLoad(self.weight());
        mMembers = new Members(self.service());
        mAnnouncer = new Announcer(self);
        RunTimes times = new RunTimes();
        OutputTotal total = new OutputTotal();
        FrameSender frames = new FrameSender(mLoad, this::isClosed);
        mEndings = new Endings(mTable, mMemory, mLoad, frames, times);
        mFollowers = new Followers(mTable, mEndings, frames);
        mOutput = new OutputControl(mTable, mEndings, total);
        mExecution = new Execution(mTable, mEndings, mFollowers, frames, mLoad, mOutput);
        mTimeouts = new Timeouts(mTable, mEndings, mExecution);
        mArrivals = new Arrivals(self.ref(), mTable, mMemory, mFollowers, frames, total);
        NextInRank next = new NextInRank(self.ref().id(), mMembers);
        mAdmission =
                new Admission(self.ref().id(), mLoad, times, next, mEndings, mExecution, frames);
        mAdmission.setSettings(mSettings);
    }

    @Override
    public void step(Instant now, SidecarEvent event, Consumer<? super SidecarEffect> effects) {
        Step step = new Step(now, effects);
        take(step, event);
        mOutput.readOn(step, mSettings.output());
        mAdmission.admitWaiting(step);
        mAnnouncer.setState(state());
        if (!mStopped) {
            mAnnouncer.announce(step, mLoad, mAdmission.waiting(), mMembers.cursor());
        }
        stopIfDone(step);
    }

    private void take(Step step, SidecarEvent event) {
        if (event instanceof SidecarEvent.Tick) {
            tick(step);
        } else if (event instanceof SidecarEvent.AttemptBegun e) {
            begin(step, e);
        } else if (event instanceof SidecarEvent.AttemptResumed e) {
            mArrivals.resume(step, e);
        } else if (event instanceof SidecarEvent.OutputAcknowledged e) {
            acknowledge(e);
        } else if (event instanceof SidecarEvent.AttemptCancelled e) {
            cancel(step, e);
        } else if (event instanceof SidecarEvent.StreamClosed e) {
            mFollowers.closed(step, e.stream());
        } else if (event instanceof SidecarEvent.AttemptRevoked e) {
            revoke(step, e);
        } else if (event instanceof SidecarEvent.EngineAnswered e) {
            mExecution.answered(step, e, mSettings);
        } else if (event instanceof SidecarEvent.EngineSent e) {
            mExecution.sent(step, e, mSettings);
        } else if (event instanceof SidecarEvent.EngineFinished e) {
            mExecution.finished(step, e);
        } else if (event instanceof SidecarEvent.EngineFailed e) {
            mExecution.failed(step, e);
        } else {
            takeOther(step, event);
        }
    }

    private void takeOther(Step step, SidecarEvent event) {
        if (event instanceof SidecarEvent.EngineReachable e) {
            mReachable = e.reachable();
        } else if (event instanceof SidecarEvent.ExchangeAnswered e) {
            exchanged(step, e);
        } else if (event instanceof SidecarEvent.SettingsChanged e) {
            mSettings = e.settings();
            mAdmission.setSettings(mSettings);
        } else if (event instanceof SidecarEvent.StopRequested) {
            mDrain.stop(step.now());
            turnWaitingAway(step);
        }
    }

    private void tick(Step step) {
        mTimeouts.check(step, mSettings);
        mMemory.expire(step.now());
        mAdmission.expire(step);
        mFollowers.sendProgress(step, mSettings.progressInterval());
    }

    private void begin(Step step, SidecarEvent.AttemptBegun event) {
        Attempt attempt = mArrivals.begin(step, event.stream(), event.request());
        if (attempt == null) {
            return;
        }
        if (mDrain.isDraining()) {
            mAdmission.turnAway(step, attempt, mDrain.code(), AdmissionReason.DRAINING);
        } else if (!mReachable) {
            mAdmission.turnAway(
                    step, attempt, ResultCode.BACKEND_REFUSED, AdmissionReason.UNREACHABLE);
        } else {
            mAdmission.place(step, attempt, 0);
        }
    }

    private void acknowledge(SidecarEvent.OutputAcknowledged event) {
        Attempt attempt = mTable.find(event.attempt());
        if (attempt != null) {
            attempt.output().acknowledge(event.offset());
        }
    }

    private void cancel(Step step, SidecarEvent.AttemptCancelled event) {
        Attempt attempt = mTable.find(event.attempt());
        if (attempt == null) {
            return;
        }
        if (attempt.phase() == Attempt.Phase.RUNNING) {
            mExecution.cancel(step, attempt, ResultCode.CANCELLED, "cancelled by the router");
        } else if (attempt.phase() == Attempt.Phase.WAITING) {
            refuseWaiting(step, attempt);
        }
    }

    private void revoke(Step step, SidecarEvent.AttemptRevoked event) {
        Attempt waiting = mArrivals.revoke(step, event);
        if (waiting != null) {
            refuseWaiting(step, waiting);
        }
    }

    private void refuseWaiting(Step step, Attempt attempt) {
        mAdmission.forget(attempt);
        String message = "withdrawn before it started";
        mEndings.refuse(
                step, attempt, new Frame.Refused(ResultCode.REVOKED, message, "", Duration.ZERO));
    }

    private void exchanged(Step step, SidecarEvent.ExchangeAnswered event) {
        mMembers.apply(event.membership());
        for (ServiceLoad l : event.loads()) {
            if (l.service().equals(mSelf.service())) {
                mLoad.setMean(step.now(), l.meanWork());
            }
        }
        mDrain.setOrdered(event.drain());
        turnWaitingAway(step);
    }

    private void turnWaitingAway(Step step) {
        if (mDrain.isDraining()) {
            mAdmission.turnAllAway(step, mDrain.code(), AdmissionReason.DRAINING);
        }
    }

    /** Returns whether nothing new is taken. */
    private boolean isClosed() {
        return mDrain.isDraining() || !mReachable;
    }

    private Backend.State state() {
        if (mStopped) {
            return Backend.State.LEFT;
        }
        return isClosed() ? Backend.State.DRAINING : Backend.State.SERVING;
    }

    private void stopIfDone(Step step) {
        if (mStopped || !mDrain.isStopping()) {
            return;
        }
        boolean done = mTable.all().stream().allMatch(Attempt::isEndingSent);
        if (done || mDrain.isOverdue(step.now(), mSettings.drainTimeout())) {
            mStopped = true;
            mAnnouncer.setState(Backend.State.LEFT);
            mAnnouncer.announce(step, mLoad, 0, mMembers.cursor());
            step.emit(new SidecarEffect.Stopped());
        }
    }
}
