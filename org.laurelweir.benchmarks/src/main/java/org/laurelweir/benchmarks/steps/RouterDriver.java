package org.laurelweir.benchmarks.steps;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import org.laurelweir.attempt.AttemptFrame;
import org.laurelweir.attempt.Frame;
import org.laurelweir.load.LoadDigest;
import org.laurelweir.membership.Backend;
import org.laurelweir.placement.OutlierConfig;
import org.laurelweir.quarantine.CrashDelta;
import org.laurelweir.routing.CallerRequest;
import org.laurelweir.routing.RequestPolicy;
import org.laurelweir.routing.RouterConfig;
import org.laurelweir.routing.RouterEffect;
import org.laurelweir.routing.RouterEvent;
import org.laurelweir.routing.RouterReducer;

/** Drives a router's reducer as its shell would. */
final class RouterDriver {
    private static final int ACCOUNTS = 19_000;

    /** Answers take their time here without being given up. */
    private static final RequestPolicy POLICY = patient(RequestPolicy.DEFAULT);

    private final RouterReducer mRouter;
    private Instant mNow = Instant.EPOCH;
    private RouterEffect.BeginAttempt mBegun;
    private long mCaller;
    private long mVersion = 1;

    /**
     * Creates a driver.
     *
     * @param backends how many backend servers the router knows, all of one service
     * @param chatSeats how many chats it remembers the backend server of
     */
    RouterDriver(int backends, int chatSeats) {
        mRouter = new RouterReducer(new RouterConfig("r", 1, 1, Duration.ofDays(1), chatSeats));
        exchange(true, Samples.backends(backends));
    }

    private static RequestPolicy patient(RequestPolicy p) {
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
        mRouter.step(mNow, event, this::take);
    }

    private void take(RouterEffect effect) {
        if (effect instanceof RouterEffect.BeginAttempt b) {
            mBegun = b;
        }
    }

    /** Lets a request arrive; returns its first attempt. */
    RouterEffect.BeginAttempt arrive(long chat) {
        mNow = mNow.plusMillis(1);
        mCaller++;
        mBegun = null;
        CallerRequest request =
                new CallerRequest(
                        Samples.account((int) (mCaller % ACCOUNTS)),
                        Samples.service(0),
                        Samples.chat(chat),
                        false,
                        Samples.call(),
                        true,
                        "",
                        Duration.ofDays(10),
                        5,
                        Samples.COST,
                        POLICY,
                        OutlierConfig.DEFAULT);
        step(new RouterEvent.RequestArrived(mCaller, request));
        if (mBegun == null) {
            throw new IllegalStateException("not sent, so nothing would be measured: " + mCaller);
        }
        return mBegun;
    }

    /** Lets a frame of an attempt arrive. */
    void frame(RouterEffect.BeginAttempt attempt, Frame frame) {
        AttemptFrame f = new AttemptFrame(attempt.request().id(), Samples.LOAD, frame);
        step(new RouterEvent.FrameArrived(attempt.stream(), f));
    }

    /** Lets a request arrive and be answered, but for the output. */
    void request(long chat) {
        RouterEffect.BeginAttempt attempt = arrive(chat);
        frame(attempt, new Frame.Head(200, List.of()));
        frame(attempt, new Frame.End(0, Frame.Usage.NONE));
    }

    /** Lets a caller take output. */
    void taken(long caller, long offset) {
        step(new RouterEvent.OutputConsumed(caller, offset));
    }

    /** Lets time pass. */
    void tick(Duration time) {
        mNow = mNow.plus(time);
        step(new RouterEvent.Tick());
    }

    /** Lets an exchange be answered. */
    void exchange(boolean full, List<Backend> backends) {
        step(
                new RouterEvent.ExchangeAnswered(
                        Samples.delta(mVersion++, full, backends),
                        CrashDelta.NONE,
                        LoadDigest.NONE,
                        Samples.loads(),
                        1));
    }
}
