package org.laurelweir.control.rpc;

import com.google.common.flogger.FluentLogger;
import com.google.common.util.concurrent.FutureCallback;
import com.google.common.util.concurrent.Futures;
import com.google.common.util.concurrent.MoreExecutors;
import io.grpc.ManagedChannel;
import java.time.Duration;
import java.util.OptionalLong;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.laurelweir.coordination.ControlEffect.Answer;
import org.laurelweir.coordination.ControlEffect.AnswerError;
import org.laurelweir.coordination.ControlEffect.AnswerSettings;
import org.laurelweir.coordination.ControlEvent;
import org.laurelweir.runtime.process.ElapsedClock;
import org.laurelweir.runtime.rpc.Channels;
import org.laurelweir.settings.NodePath;
import org.laurelweir.wire.v1.ControlServiceGrpc;
import org.laurelweir.wire.v1.ReadSettingsReply;
import org.laurelweir.wire.v1.ReadSettingsRequest;

/**
 * Tracks the time as of which this instance's settings are confirmed to contain all accepted
 * changes. A few times per second it sends a read to the leader, which answers once a quorum has
 * confirmed that it still leads. The confirmed time is when the read was sent, measured on this
 * instance.
 *
 * <p>A heartbeat would not suffice: one that a partition delays arrives seconds later and looks
 * recent, and revoked keys would go on working.
 */
public final class ReadConfirmer {
    private static final FluentLogger sLogger = FluentLogger.forEnclosingClass();

    /**
     * Interval between confirmations, so that the confirmed time is at most about a quarter of a
     * second old.
     */
    private static final Duration CONFIRM_INTERVAL = Duration.ofMillis(250);

    /**
     * Interval between checks whether a confirmation is due. It is short, so that the confirmed
     * time is seldom much older than {@link #CONFIRM_INTERVAL}.
     */
    private static final Duration CHECK_INTERVAL = Duration.ofMillis(80);

    /**
     * Interval between checks before the first confirmation, since nothing is served until then.
     */
    private static final Duration FIRST_CHECK_INTERVAL = Duration.ofMillis(25);

    private static final Duration TIMEOUT = Duration.ofMillis(1000);

    /** Interval between checks whether the leader's position has been applied on this instance. */
    private static final Duration APPLIED_CHECK_INTERVAL = Duration.ofMillis(40);

    private final PendingCalls mCalls;
    private final Consumer<ControlEvent> mEvents;
    private final Channels mChannels;
    private final ScheduledExecutorService mTimer;
    private final ElapsedClock mClock;
    private final ConfirmationGate mGate;
    private volatile ElapsedClock.Mark mConfirmed;
    private volatile ElapsedClock.Mark mPendingSince;
    private volatile boolean mIsConfirmed;

    /**
     * Creates a confirmer that is not started.
     *
     * @param calls registers the calls that wait for an answer
     * @param events receives read requests, from any thread
     * @param channels provides connections to the leader
     * @param timer runs the checks
     * @param clock measures elapsed time, suspensions of the machine included
     */
    public ReadConfirmer(
            PendingCalls calls,
            Consumer<ControlEvent> events,
            Channels channels,
            ScheduledExecutorService timer,
            ElapsedClock clock) {
        mCalls = calls;
        mEvents = events;
        mChannels = channels;
        mTimer = timer;
        mClock = clock;
        mGate = new ConfirmationGate(timer);
    }

    /** Starts the checks, which run until the timer is shut down. */
    public void start() {
        mTimer.execute(this::check);
    }

    private void check() {
        try {
            requestIfDue();
        } finally {
            Duration next = mConfirmed == null ? FIRST_CHECK_INTERVAL : CHECK_INTERVAL;
            mTimer.schedule(this::check, next.toMillis(), TimeUnit.MILLISECONDS);
        }
    }

    /** Runs an action once settings have been confirmed since the start, or after a short wait. */
    void whenConfirmed(Runnable action) {
        mGate.runWhenOpen(action);
    }

    /**
     * Returns the time as of which the settings are confirmed, or null before the first
     * confirmation.
     */
    public ElapsedClock.Mark confirmed() {
        return mConfirmed;
    }

    /** Returns the age of a confirmed time in ms, or empty for null. */
    public OptionalLong ageMillis(ElapsedClock.Mark confirmed) {
        return confirmed == null
                ? OptionalLong.empty()
                : OptionalLong.of(mClock.since(confirmed).toMillis());
    }

    private void requestIfDue() {
        ElapsedClock.Mark confirmed = mConfirmed;
        if (confirmed == null || mClock.since(confirmed).compareTo(CONFIRM_INTERVAL) >= 0) {
            requestConfirmation();
        }
    }

    private void requestConfirmation() {
        ElapsedClock.Mark sentAt = mPendingSince;
        if (sentAt != null && mClock.since(sentAt).compareTo(TIMEOUT) < 0) {
            return;
        }
        ElapsedClock.Mark now = mClock.mark();
        mPendingSince = now;
        mEvents.accept(
                new ControlEvent.SettingsRequested(
                        mCalls.open(a -> onLocalAnswer(now, a)), NodePath.DEPLOYMENT, true, 0));
    }

    private void onLocalAnswer(ElapsedClock.Mark sentAt, Answer answer) {
        if (answer instanceof AnswerSettings) {
            confirm(sentAt);
        } else if (answer instanceof AnswerError r && !r.leader().isEmpty()) {
            askLeader(sentAt, r.leader());
        } else {
            onNotConfirmed("no leader is known");
        }
    }

    private void askLeader(ElapsedClock.Mark sentAt, String leader) {
        ManagedChannel channel = mChannels.get(leader);
        FutureCallback<ReadSettingsReply> callback =
                new FutureCallback<>() {
                    @Override
                    public void onSuccess(ReadSettingsReply reply) {
                        if (reply.getCode() == 0) {
                            checkApplied(sentAt, reply.getPosition());
                        } else {
                            onNotConfirmed(leader + " answers with code " + reply.getCode());
                        }
                    }

                    @Override
                    public void onFailure(Throwable failure) {
                        mChannels.reconnect(leader, channel);
                        onNotConfirmed(leader + " does not answer: " + failure.getMessage());
                    }
                };
        Futures.addCallback(
                ControlServiceGrpc.newFutureStub(channel)
                        .withDeadlineAfter(TIMEOUT.toMillis(), TimeUnit.MILLISECONDS)
                        .readSettings(
                                ReadSettingsRequest.newBuilder()
                                        .setPath(NodePath.DEPLOYMENT.toString())
                                        .setLinearizable(true)
                                        .build()),
                callback,
                MoreExecutors.directExecutor());
    }

    /**
     * Checks whether this instance has applied the leader's position. Only then are its settings
     * confirmed.
     */
    private void checkApplied(ElapsedClock.Mark sentAt, long position) {
        mEvents.accept(
                new ControlEvent.SettingsRequested(
                        mCalls.open(a -> onApplied(sentAt, position, a)),
                        NodePath.DEPLOYMENT,
                        false,
                        0));
    }

    private void onApplied(ElapsedClock.Mark sentAt, long position, Answer answer) {
        if (answer instanceof AnswerSettings s && s.position() >= position) {
            confirm(sentAt);
        } else if (mClock.since(sentAt).compareTo(TIMEOUT) < 0) {
            mTimer.schedule(
                    () -> checkApplied(sentAt, position),
                    APPLIED_CHECK_INTERVAL.toMillis(),
                    TimeUnit.MILLISECONDS);
        }
    }

    private void onNotConfirmed(String reason) {
        mPendingSince = null;
        // Logged once per loss of confirmation, since a confirmation is requested several times per
        // second.
        if (mIsConfirmed) {
            mIsConfirmed = false;
            sLogger.atInfo().log("settings can't be confirmed: %s", reason);
        }
    }

    private void confirm(ElapsedClock.Mark sentAt) {
        if (!mIsConfirmed) {
            mIsConfirmed = true;
            sLogger.atInfo().log(
                    "settings are confirmed as of %d ms ago", mClock.since(sentAt).toMillis());
        }
        mConfirmed = sentAt;
        mPendingSince = null;
        mGate.open();
    }
}
