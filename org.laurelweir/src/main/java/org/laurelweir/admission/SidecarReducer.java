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
    /** Longer than any caller's deadline: deadline.max can't be set above an hour. */
    private static final Duration MEMORY_KEEP = Duration.ofMinutes(65);

    private static final int MAX_REMEMBERED = 50_000;
    private static final int MAX_ROUTER_RUNS = 10_000;

    private final SidecarIdentity mSelf;
    private final RunningLoad mLoad;
    private final Members mMembers;
    private final Announcer mAnnouncer;
    private final LaterRun mLaterRun;
    private final Orders mOrders = new Orders();
    private final AttemptTable mTable = new AttemptTable();
    private final AttemptMemory mMemory =
            new AttemptMemory(MEMORY_KEEP, MAX_REMEMBERED, MAX_ROUTER_RUNS);
    private final ChatHomes mHomes;
    private final ChatQuestions mQuestions;
    private final Followers mFollowers;
    private final Endings mEndings;
    private final OutputControl mOutput;
    private final Execution mExecution;
    private final Timeouts mTimeouts;
    private final Arrivals mArrivals;
    private final Admission mAdmission;
    private final Seating mSeating;
    private final Drain mDrain;
    private SidecarSettings mSettings = SidecarSettings.DEFAULT;
    private boolean mReachable = true;
    private boolean mStarted;

    /**
     * Creates the reducer of an idle sidecar.
     *
     * @param self who the sidecar is
     */
    public SidecarReducer(SidecarIdentity self) {
        String name = self.ref().id();
        mSelf = self;
        mLoad = new RunningLoad(self.weight());
        mMembers = new Members(self.service());
        mAnnouncer = new Announcer(self);
        mLaterRun = new LaterRun(self.ref());
        mHomes = new ChatHomes(name, mMembers);
        mHomes.setCacheTokens(mSettings.cacheTokens());
        mQuestions = new ChatQuestions(mMembers);
        RunTimes times = new RunTimes();
        OutputTotal total = new OutputTotal();
        FrameSender frames = new FrameSender(mLoad, this::isClosed);
        mEndings = new Endings(mTable, mMemory, mLoad, frames, times, mHomes);
        mFollowers = new Followers(mTable, mEndings, frames);
        mOutput = new OutputControl(mTable, mEndings, total);
        mExecution = new Execution(mTable, mEndings, mFollowers, frames, mLoad, mOutput);
        mTimeouts = new Timeouts(mTable, mEndings, mExecution, mFollowers);
        mArrivals = new Arrivals(self.ref(), mTable, mMemory, mFollowers, frames, total);
        NextInRank next = new NextInRank(name, mMembers);
        mAdmission = new Admission(name, mLoad, times, next, mEndings, mExecution, frames);
        mAdmission.setSettings(mSettings);
        mSeating = new Seating(mHomes, mQuestions, mMembers, mAdmission);
        mDrain = new Drain(mTable, mAdmission, mQuestions, mHomes, mExecution);
    }

    @Override
    public void step(Instant now, SidecarEvent event, Consumer<? super SidecarEffect> effects) {
        Step step = new Step(now, effects);
        if (!mStarted) {
            mStarted = true;
            mHomes.joined(now);
        }
        if (!takeAboutAttempt(step, event) && !takeFromEngine(step, event)) {
            takeOther(step, event);
        }
        mOutput.readOn(step, mSettings.output());
        mAdmission.admitWaiting(step);
        announce(step);
    }

    private boolean takeAboutAttempt(Step step, SidecarEvent event) {
        if (event instanceof SidecarEvent.AttemptRequested e) {
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
        } else {
            return false;
        }
        return true;
    }

    private boolean takeFromEngine(Step step, SidecarEvent event) {
        if (event instanceof SidecarEvent.EngineHeadReceived e) {
            mExecution.answered(step, e, mSettings);
        } else if (event instanceof SidecarEvent.EngineDataReceived e) {
            mExecution.sent(step, e, mSettings);
        } else if (event instanceof SidecarEvent.EngineFinished e) {
            mExecution.finished(step, e);
        } else if (event instanceof SidecarEvent.EngineFailed e) {
            mExecution.failed(step, e);
        } else if (event instanceof SidecarEvent.EngineReachable e) {
            reachable(step, e.reachable());
        } else {
            return false;
        }
        return true;
    }

    private void reachable(Step step, boolean reachable) {
        if (reachable && !mReachable) {
            mHomes.joined(step.now());
        }
        mReachable = reachable;
    }

    private void takeOther(Step step, SidecarEvent event) {
        if (event instanceof SidecarEvent.Tick) {
            tick(step);
        } else if (event instanceof SidecarEvent.ExchangeAnswered e) {
            exchanged(step, e);
        } else if (event instanceof SidecarEvent.SettingsChanged e) {
            mSettings = e.settings();
            mAdmission.setSettings(mSettings);
            mHomes.setCacheTokens(mSettings.cacheTokens());
        } else if (event instanceof SidecarEvent.ChatsLocated e) {
            mSeating.answered(step, e);
        } else if (event instanceof SidecarEvent.LocateChatsRequested e) {
            mHomes.answer(step, e);
        } else if (event instanceof SidecarEvent.ChatsHandedOver e) {
            e.locations().forEach(mHomes::located);
        } else if (event instanceof SidecarEvent.OrderReceived e) {
            mOrders.received(step, e);
        } else if (event instanceof SidecarEvent.StopRequested) {
            mDrain.stop(step);
        }
    }

    private void tick(Step step) {
        mMemory.expire(step.now());
        mSeating.expire(step);
        mAdmission.expire(step);
        mTimeouts.check(step, mSettings);
        mHomes.sendNotices(step);
    }

    private void begin(Step step, SidecarEvent.AttemptRequested event) {
        Attempt attempt = mArrivals.begin(step, event.stream(), event.request());
        if (attempt == null) {
            return;
        }
        if (mDrain.isDraining()) {
            mDrain.turnAway(step, attempt);
        } else if (!mReachable) {
            mAdmission.turnAway(
                    step, attempt, ResultCode.BACKEND_REFUSED, AdmissionReason.UNREACHABLE);
        } else {
            mSeating.seat(step, attempt);
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
        mQuestions.forget(attempt);
        mAdmission.forget(attempt);
        String message = "withdrawn before it started";
        mEndings.refuse(
                step, attempt, new Frame.Refused(ResultCode.REVOKED, message, "", Duration.ZERO));
    }

    private void exchanged(Step step, SidecarEvent.ExchangeAnswered event) {
        if (mMembers.apply(event.membership())) {
            mHomes.membersChanged();
        }
        for (ServiceLoad l : event.loads()) {
            if (l.service().equals(mSelf.service())) {
                mLoad.setMean(step.now(), l.meanWork());
            }
        }
        // An instance that is cut off from the others may not know of a drain yet, nor of an order.
        // Taken at its word, it would have a leaving server take new work again.
        if (event.confirmed()) {
            mOrders.heard(event.fence());
            mDrain.order(step, event.drain());
        }
        mLaterRun.heard(event.membership());
        // The run that takes over would know nothing of a stop.
        if (!mDrain.isDraining()) {
            mLaterRun.tell(step, mTable.isEmpty());
        }
    }

    private void announce(Step step) {
        if (mDrain.isStopped()) {
            return;
        }
        boolean stopped = mDrain.endStop(step, mSettings.drainTimeout());
        mAnnouncer.setState(state());
        mAnnouncer.announce(step, mLoad, mAdmission.waiting(), mMembers.cursor());
        if (stopped) {
            step.emit(new SidecarEffect.Stopped());
        }
    }

    /** Returns whether nothing new is taken. */
    private boolean isClosed() {
        return mDrain.isDraining() || !mReachable;
    }

    private Backend.State state() {
        if (mDrain.isStopped()) {
            return Backend.State.LEFT;
        }
        return isClosed() ? Backend.State.DRAINING : Backend.State.SERVING;
    }
}
