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
 * Knows up to which moment this instance's settings hold all that was accepted. A few times a
 * second it asks the leader, which answers once a quorum has confirmed that it still leads; the
 * moment of asking counts, measured here.
 *
 * <p>A heartbeat would not do: held up in a partition, it arrives seconds later and looks fresh,
 * and keys that were taken away meanwhile would go on working behind it.
 */
public final class ReadConfirmer {
    private static final FluentLogger sLogger = FluentLogger.forEnclosingClass();

    /** How often it asks, so that an answer is about a quarter of a second old at most. */
    private static final Duration INTERVAL = Duration.ofMillis(250);

    /** How often it looks whether it is time, so that an answer is seldom much older than that. */
    private static final Duration LOOK = Duration.ofMillis(80);

    /** How often it looks before the first answer: until then nothing is served after a start. */
    private static final Duration FIRST_LOOK = Duration.ofMillis(25);

    private static final Duration TIMEOUT = Duration.ofMillis(1000);

    /** How soon to look again whether what the leader told has been applied here. */
    private static final Duration RECHECK = Duration.ofMillis(40);

    private final PendingCalls mCalls;
    private final Consumer<ControlEvent> mEvents;
    private final Channels mChannels;
    private final ScheduledExecutorService mTimer;
    private final ElapsedClock mClock;
    private final HeldReaders mHeld;
    private volatile ElapsedClock.Mark mConfirmed;
    private volatile ElapsedClock.Mark mAsked;
    private volatile boolean mIsConfirmed;

    /**
     * Creates the confirmer.
     *
     * @param calls where calls wait
     * @param events takes reads, from any thread
     * @param channels reach the leader
     * @param timer runs the rounds
     * @param clock measures ages, suspensions of the machine included
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
        mHeld = new HeldReaders(timer);
    }

    /** Begins to ask. */
    public void begin() {
        mTimer.execute(this::look);
    }

    private void look() {
        try {
            askIfDue();
        } finally {
            Duration next = mConfirmed == null ? FIRST_LOOK : LOOK;
            mTimer.schedule(this::look, next.toMillis(), TimeUnit.MILLISECONDS);
        }
    }

    /** Runs an action once settings have been confirmed since the start, or after a short wait. */
    void whenConfirmed(Runnable action) {
        mHeld.hold(action);
    }

    /** Returns the moment up to which the settings are confirmed now, or null if none is. */
    public ElapsedClock.Mark confirmed() {
        return mConfirmed;
    }

    /** Returns how long ago a confirmed moment was, in ms, or nothing for null. */
    public OptionalLong ageMillis(ElapsedClock.Mark confirmed) {
        return confirmed == null
                ? OptionalLong.empty()
                : OptionalLong.of(mClock.since(confirmed).toMillis());
    }

    private void askIfDue() {
        ElapsedClock.Mark confirmed = mConfirmed;
        if (confirmed == null || mClock.since(confirmed).compareTo(INTERVAL) >= 0) {
            ask();
        }
    }

    private void ask() {
        ElapsedClock.Mark asked = mAsked;
        if (asked != null && mClock.since(asked).compareTo(TIMEOUT) < 0) {
            return;
        }
        ElapsedClock.Mark now = mClock.mark();
        mAsked = now;
        mEvents.accept(
                new ControlEvent.SettingsRequested(
                        mCalls.open(a -> onLocal(now, a)), NodePath.DEPLOYMENT, true, 0));
    }

    private void onLocal(ElapsedClock.Mark asked, Answer answer) {
        if (answer instanceof AnswerSettings) {
            confirm(asked);
        } else if (answer instanceof AnswerError r && !r.leader().isEmpty()) {
            askLeader(asked, r.leader());
        } else {
            notConfirmed("no leader is known");
        }
    }

    private void askLeader(ElapsedClock.Mark asked, String leader) {
        ManagedChannel channel = mChannels.get(leader);
        FutureCallback<ReadSettingsReply> callback =
                new FutureCallback<>() {
                    @Override
                    public void onSuccess(ReadSettingsReply reply) {
                        if (reply.getCode() == 0) {
                            checkApplied(asked, reply.getPosition());
                        } else {
                            notConfirmed(leader + " answers " + reply.getCode());
                        }
                    }

                    @Override
                    public void onFailure(Throwable failure) {
                        mChannels.fresh(leader, channel);
                        notConfirmed(leader + " does not answer: " + failure.getMessage());
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

    /** What the leader has accepted counts here once it has been applied here. */
    private void checkApplied(ElapsedClock.Mark asked, long position) {
        mEvents.accept(
                new ControlEvent.SettingsRequested(
                        mCalls.open(a -> onApplied(asked, position, a)),
                        NodePath.DEPLOYMENT,
                        false,
                        0));
    }

    private void onApplied(ElapsedClock.Mark asked, long position, Answer answer) {
        if (answer instanceof AnswerSettings s && s.position() >= position) {
            confirm(asked);
        } else if (mClock.since(asked).compareTo(TIMEOUT) < 0) {
            mTimer.schedule(
                    () -> checkApplied(asked, position), RECHECK.toMillis(), TimeUnit.MILLISECONDS);
        }
    }

    private void notConfirmed(String reason) {
        mAsked = null;
        // Once for each loss: it asks several times a second.
        if (mIsConfirmed) {
            mIsConfirmed = false;
            sLogger.atInfo().log("settings can't be confirmed: %s", reason);
        }
    }

    private void confirm(ElapsedClock.Mark asked) {
        if (!mIsConfirmed) {
            mIsConfirmed = true;
            sLogger.atInfo().log(
                    "settings are confirmed as of %d ms ago", mClock.since(asked).toMillis());
        }
        mConfirmed = asked;
        mAsked = null;
        mHeld.release();
    }
}
