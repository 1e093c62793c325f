package org.laurelweir.admission;

import java.time.Duration;
import java.time.Instant;
import java.util.function.Consumer;
import org.laurelweir.answer.ServerNotice;
import org.laurelweir.attempt.Frame;
import org.laurelweir.lib.Reducer;
import org.laurelweir.lib.ResultCode;
import org.laurelweir.membership.Backend;
import org.laurelweir.membership.ServiceLoad;

/**
 * Decides what a sidecar does. This class passes each event to the part that handles it; the parts
 * hold the state.
 */
public final class SidecarReducer implements Reducer<SidecarEvent, SidecarEffect> {
    /** Longer than any caller's deadline: the setting deadline.max is limited to an hour. */
    private static final Duration MEMORY_RETENTION = Duration.ofMinutes(65);

    private static final int MAX_REMEMBERED_ATTEMPTS = 50_000;
    private static final int MAX_ROUTER_RUNS = 10_000;

    private final SidecarIdentity mSelf;
    private final RunningLoad mLoad;
    private final Members mMembers;
    private final Announcer mAnnouncer;
    private final LaterIncarnationDetector mLaterIncarnations;
    private final OrderFencing mOrderFencing = new OrderFencing();
    private final AttemptTable mTable = new AttemptTable();
    private final AttemptMemory mMemory =
            new AttemptMemory(MEMORY_RETENTION, MAX_REMEMBERED_ATTEMPTS, MAX_ROUTER_RUNS);
    private final ChatLocations mChatLocations;
    private final PendingChatLookups mLookups;
    private final FollowingStreams mStreams;
    private final AttemptFinisher mFinisher;
    private final OutputLimiter mOutputLimiter;
    private final Execution mExecution;
    private final Timeouts mTimeouts;
    private final AttemptDeduplicator mDeduplicator;
    private final Admission mAdmission;
    private final ChatRedirector mRedirector;
    private final Drain mDrain;
    private final EngineNotices mNotices = new EngineNotices();
    private SidecarSettings mSettings = SidecarSettings.DEFAULT;
    private boolean mReachable = true;
    private boolean mStarted;
    private Instant mNow = Instant.MIN;

    /**
     * Creates the reducer of an idle sidecar.
     *
     * @param self the sidecar's identity
     */
    public SidecarReducer(SidecarIdentity self) {
        String name = self.ref().id();
        mSelf = self;
        mLoad = new RunningLoad(self.weight());
        mMembers = new Members(self.service());
        mAnnouncer = new Announcer(self);
        mLaterIncarnations = new LaterIncarnationDetector(self.ref());
        mChatLocations = new ChatLocations(name, mMembers);
        mChatLocations.setCacheTokens(mSettings.cacheTokens());
        mLookups = new PendingChatLookups(mMembers);
        RunTimes runTimes = new RunTimes();
        OutputTotal outputTotal = new OutputTotal();
        FrameSender frameSender = new FrameSender(mLoad, this::refusesNewWork);
        mFinisher =
                new AttemptFinisher(mTable, mMemory, mLoad, frameSender, runTimes, mChatLocations);
        mStreams = new FollowingStreams(mTable, mFinisher, frameSender);
        mOutputLimiter = new OutputLimiter(mTable, mFinisher, outputTotal);
        mExecution =
                new Execution(
                        mTable, mFinisher, mStreams, frameSender, mLoad, mOutputLimiter, mNotices);
        mTimeouts = new Timeouts(mTable, mFinisher, mExecution, mStreams);
        mDeduplicator =
                new AttemptDeduplicator(
                        self.ref(), mTable, mMemory, mStreams, frameSender, outputTotal);
        RedirectRanking redirectRanking = new RedirectRanking(name, mMembers);
        mAdmission =
                new Admission(
                        name,
                        mLoad,
                        runTimes,
                        redirectRanking,
                        mFinisher,
                        mExecution,
                        frameSender,
                        mNotices);
        mAdmission.setSettings(mSettings);
        mRedirector = new ChatRedirector(mChatLocations, mLookups, mMembers, mAdmission);
        mDrain = new Drain(mTable, mAdmission, mLookups, mChatLocations, mExecution);
    }

    @Override
    public void step(Instant now, SidecarEvent event, Consumer<? super SidecarEffect> effects) {
        Step step = new Step(now, effects);
        mNow = now;
        if (!mStarted) {
            mStarted = true;
            mChatLocations.onJoined(now);
        }
        if (!handleAttemptEvent(step, event) && !handleEngineEvent(step, event)) {
            handleOtherEvent(step, event);
        }
        mOutputLimiter.resumeReading(step, mSettings.output());
        mAdmission.admitWaiting(step);
        announceAndStop(step);
    }

    private boolean handleAttemptEvent(Step step, SidecarEvent event) {
        if (event instanceof SidecarEvent.AttemptRequested e) {
            onAttemptRequested(step, e);
        } else if (event instanceof SidecarEvent.AttemptResumed e) {
            mDeduplicator.resume(step, e);
        } else if (event instanceof SidecarEvent.OutputAcknowledged e) {
            onOutputAcknowledged(e);
        } else if (event instanceof SidecarEvent.AttemptCancelled e) {
            onAttemptCancelled(step, e);
        } else if (event instanceof SidecarEvent.StreamClosed e) {
            mStreams.onStreamClosed(step, e.stream());
        } else if (event instanceof SidecarEvent.AttemptRevoked e) {
            onAttemptRevoked(step, e);
        } else {
            return false;
        }
        return true;
    }

    private boolean handleEngineEvent(Step step, SidecarEvent event) {
        if (event instanceof SidecarEvent.EngineNoticed e) {
            onNoticed(step, e.notice());
        } else if (event instanceof SidecarEvent.EngineHeadReceived e) {
            mExecution.onHead(step, e, mSettings);
        } else if (event instanceof SidecarEvent.EngineDataReceived e) {
            mExecution.onData(step, e, mSettings);
        } else if (event instanceof SidecarEvent.EngineFinished e) {
            mExecution.onFinished(step, e);
        } else if (event instanceof SidecarEvent.EngineFailed e) {
            mExecution.onFailed(step, e);
        } else if (event instanceof SidecarEvent.EngineReachabilityChanged e) {
            setReachable(step, e.reachable());
        } else {
            return false;
        }
        return true;
    }

    private void setReachable(Step step, boolean reachable) {
        if (reachable && !mReachable) {
            mNotices.onRestarted();
            mDrain.setLeaving(step, false);
            mChatLocations.onJoined(step.now());
        }
        mReachable = reachable;
    }

    private void onNoticed(Step step, ServerNotice notice) {
        mNotices.onNotice(step.now(), notice);
        mDrain.setLeaving(step, mNotices.isLeaving(step.now()));
        if (notice.asksForBackoff() && !mDrain.isDraining()) {
            mLookups.waitingAttempts().forEach(a -> refuseInBackoff(step, a));
            mAdmission.refuseAllWaiting(step, ResultCode.OVERLOADED, AdmissionReason.BACKOFF);
        }
    }

    private void refuseInBackoff(Step step, Attempt attempt) {
        mLookups.remove(attempt);
        mAdmission.refuseNewWork(step, attempt, ResultCode.OVERLOADED, AdmissionReason.BACKOFF);
    }

    private void handleOtherEvent(Step step, SidecarEvent event) {
        if (event instanceof SidecarEvent.Tick) {
            onTick(step);
        } else if (event instanceof SidecarEvent.ExchangeAnswered e) {
            onExchangeAnswered(step, e);
        } else if (event instanceof SidecarEvent.SettingsChanged e) {
            mSettings = e.settings();
            mAdmission.setSettings(mSettings);
            mChatLocations.setCacheTokens(mSettings.cacheTokens());
        } else if (event instanceof SidecarEvent.ChatsLocated e) {
            mRedirector.onChatsLocated(step, e);
        } else if (event instanceof SidecarEvent.LocateChatsRequested e) {
            mChatLocations.answerLocateChats(step, e);
        } else if (event instanceof SidecarEvent.ChatsHandedOver e) {
            e.locations().forEach(mChatLocations::setLocation);
        } else if (event instanceof SidecarEvent.OrderReceived e) {
            mOrderFencing.onOrder(step, e);
        } else if (event instanceof SidecarEvent.StopRequested) {
            mDrain.requestStop(step);
        }
    }

    private void onTick(Step step) {
        mMemory.expire(step.now());
        mDrain.setLeaving(step, mNotices.isLeaving(step.now()));
        mRedirector.expire(step);
        mAdmission.refuseExpired(step);
        mTimeouts.checkDue(step, mSettings);
        mChatLocations.sendNotices(step);
    }

    private void onAttemptRequested(Step step, SidecarEvent.AttemptRequested event) {
        Attempt attempt = mDeduplicator.request(step, event.stream(), event.request());
        if (attempt == null) {
            return;
        }
        if (mDrain.isDraining()) {
            mDrain.refuse(step, attempt);
        } else if (!mReachable) {
            mAdmission.refuseNewWork(
                    step, attempt, ResultCode.BACKEND_REFUSED, AdmissionReason.UNREACHABLE);
        } else if (mNotices.isInBackoff(step.now())) {
            refuseInBackoff(step, attempt);
        } else {
            mRedirector.locateAndPlace(step, attempt);
        }
    }

    private void onOutputAcknowledged(SidecarEvent.OutputAcknowledged event) {
        Attempt attempt = mTable.find(event.attempt());
        if (attempt != null) {
            attempt.output().acknowledge(event.offset());
        }
    }

    private void onAttemptCancelled(Step step, SidecarEvent.AttemptCancelled event) {
        Attempt attempt = mTable.find(event.attempt());
        if (attempt == null) {
            return;
        }
        if (attempt.phase() == Attempt.Phase.RUNNING) {
            mExecution.abort(step, attempt, ResultCode.CANCELLED, "cancelled by the router");
        } else if (attempt.phase() == Attempt.Phase.WAITING) {
            refuseWaiting(step, attempt);
        }
    }

    private void onAttemptRevoked(Step step, SidecarEvent.AttemptRevoked event) {
        Attempt waiting = mDeduplicator.revoke(step, event);
        if (waiting != null) {
            refuseWaiting(step, waiting);
        }
    }

    private void refuseWaiting(Step step, Attempt attempt) {
        mLookups.remove(attempt);
        mAdmission.removeWaiting(attempt);
        String message = "cancelled or revoked before it started";
        mFinisher.refuse(
                step, attempt, new Frame.Refused(ResultCode.REVOKED, message, "", Duration.ZERO));
    }

    private void onExchangeAnswered(Step step, SidecarEvent.ExchangeAnswered event) {
        if (mMembers.apply(event.membership())) {
            mChatLocations.onMembershipChanged();
        }
        for (ServiceLoad l : event.loads()) {
            if (l.service().equals(mSelf.service())) {
                mLoad.setMean(step.now(), l.meanWork());
            }
        }
        // A control instance that is cut off from the others may not know of a drain or an order
        // yet. Unconfirmed values could make a draining server take new work again.
        if (event.confirmed()) {
            mOrderFencing.setHighestIssued(event.fence());
            mDrain.setOrdered(step, event.drain());
        }
        mLaterIncarnations.onMembership(event.membership());
        // The next incarnation would not know that a stop was requested.
        if (!mDrain.isDraining()) {
            mLaterIncarnations.reportLater(step, mTable.isEmpty());
        }
    }

    private void announceAndStop(Step step) {
        if (mDrain.isStopped()) {
            return;
        }
        boolean stopped = mDrain.finishStop(step, mSettings.drainTimeout());
        mAnnouncer.setState(state());
        mAnnouncer.announceIfDue(step, mLoad, mAdmission.waitingCount(), mMembers.cursor());
        if (stopped) {
            step.emit(new SidecarEffect.Stopped());
        }
    }

    /** Returns whether this sidecar takes no new work now. */
    private boolean refusesNewWork() {
        return isUnavailable() || mNotices.isInBackoff(mNow);
    }

    /**
     * Returns whether other programs are told to take this server out of the ranking. A backoff is
     * too short for that: chats would move away and back.
     */
    private boolean isUnavailable() {
        return mDrain.isDraining() || !mReachable;
    }

    private Backend.State state() {
        if (mDrain.isStopped()) {
            return Backend.State.LEFT;
        }
        return isUnavailable() ? Backend.State.DRAINING : Backend.State.SERVING;
    }
}
