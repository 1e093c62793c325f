package org.laurelweir.benchmarks.steps;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import org.laurelweir.attempt.AttemptFrame;
import org.laurelweir.attempt.Frame;
import org.laurelweir.load.LoadDigest;
import org.laurelweir.membership.Backend;
import org.laurelweir.membership.PlacementRules;
import org.laurelweir.placement.OutlierConfig;
import org.laurelweir.quarantine.CrashDelta;
import org.laurelweir.routing.CallerRequest;
import org.laurelweir.routing.RequestPolicy;
import org.laurelweir.routing.RouterConfig;
import org.laurelweir.routing.RouterEffect;
import org.laurelweir.routing.RouterEvent;
import org.laurelweir.routing.RouterReducer;

/** Passes events to a router's reducer in place of the router process. */
final class RouterDriver {
    private static final int ACCOUNTS = 19_000;

    /** The silence timeout is one day, so that no attempt is given up while it is measured. */
    private static final RequestPolicy POLICY = withLongSilenceTimeout(RequestPolicy.DEFAULT);

    private final RouterReducer mRouter;
    private Instant mNow = Instant.EPOCH;
    private RouterEffect.BeginAttempt mLastAttempt;
    private long mLastCaller;
    private long mVersion = 1;

    /**
     * Creates a driver.
     *
     * @param backends number of backend servers that the router knows, all of one service
     * @param maxChatLocations maximum number of chats whose location the router remembers
     */
    RouterDriver(int backends, int maxChatLocations) {
        mRouter =
                new RouterReducer(
                        new RouterConfig("r", 1, 1, Duration.ofDays(1), maxChatLocations));
        exchange(true, SampleData.backends(backends));
    }

    private static RequestPolicy withLongSilenceTimeout(RequestPolicy p) {
        return new RequestPolicy(
                p.boundFactor(),
                p.maxAttempts(),
                p.retryBudgetShare(),
                p.backoffMin(),
                p.backoffMax(),
                p.accountWeight(),
                p.accountMaxRunning(),
                p.accountRate(),
                p.claimRetention(),
                Duration.ofDays(1));
    }

    private void step(RouterEvent event) {
        mRouter.step(mNow, event, this::onEffect);
    }

    private void onEffect(RouterEffect effect) {
        if (effect instanceof RouterEffect.BeginAttempt b) {
            mLastAttempt = b;
        }
    }

    /** Delivers a caller's request and returns its first attempt. */
    RouterEffect.BeginAttempt receiveRequest(long chat) {
        mNow = mNow.plusMillis(1);
        mLastCaller++;
        mLastAttempt = null;
        CallerRequest request =
                new CallerRequest(
                        SampleData.account((int) (mLastCaller % ACCOUNTS)),
                        SampleData.service(0),
                        SampleData.chat(chat),
                        false,
                        SampleData.call(),
                        true,
                        "",
                        Duration.ofDays(10),
                        5,
                        SampleData.COST,
                        POLICY,
                        OutlierConfig.DEFAULT);
        step(new RouterEvent.RequestArrived(mLastCaller, request));
        if (mLastAttempt == null) {
            throw new IllegalStateException(
                    "request not sent, cost cannot be measured: " + mLastCaller);
        }
        return mLastAttempt;
    }

    /** Delivers a frame of an attempt. */
    void receiveFrame(RouterEffect.BeginAttempt attempt, Frame frame) {
        AttemptFrame f = new AttemptFrame(attempt.request().id(), SampleData.LOAD_HINT, frame);
        step(new RouterEvent.FrameArrived(attempt.stream(), f));
    }

    /** Delivers a request, the head of its answer and its end, without output. */
    void runRequest(long chat) {
        RouterEffect.BeginAttempt attempt = receiveRequest(chat);
        receiveFrame(attempt, new Frame.Head(200, List.of()));
        receiveFrame(attempt, new Frame.End(0, Frame.Usage.NONE));
    }

    /** Reports that a caller has consumed output up to an offset. */
    void consumeOutput(long caller, long offset) {
        step(new RouterEvent.OutputConsumed(caller, offset));
    }

    /** Advances the time and delivers a tick. */
    void tick(Duration time) {
        mNow = mNow.plus(time);
        step(new RouterEvent.Tick());
    }

    /** Answers an exchange with control. */
    void exchange(boolean full, List<Backend> backends) {
        step(
                new RouterEvent.ExchangeAnswered(
                        SampleData.delta(mVersion++, full, backends),
                        CrashDelta.NONE,
                        LoadDigest.NONE,
                        SampleData.loads(),
                        1,
                        PlacementRules.NONE));
    }
}
