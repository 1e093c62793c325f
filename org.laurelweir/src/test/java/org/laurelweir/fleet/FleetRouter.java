package org.laurelweir.fleet;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;
import org.laurelweir.coordination.ControlEffect.AnswerExchange;
import org.laurelweir.coordination.ControlEvent;
import org.laurelweir.direct.DirectEffect;
import org.laurelweir.direct.DirectEvent;
import org.laurelweir.direct.RoutedRequest;
import org.laurelweir.lib.ResultCode;
import org.laurelweir.membership.RouterReport;
import org.laurelweir.routing.RouterConfig;
import org.laurelweir.routing.RouterEffect;
import org.laurelweir.routing.RouterEvent;
import org.laurelweir.routing.RouterReducer;

/** A router that exchanges with the control instances and calls backend servers. */
public final class FleetRouter {
    private static final int TICK_MILLIS = 10;
    private static final Duration EXCHANGE_INTERVAL = Duration.ofMillis(300);
    private static final int EXCHANGE_TIMEOUT_MILLIS = 800;

    private final VirtualTime mTime;
    private final FleetControls mControls;
    private final FleetBackends mBackends;
    private final String mName;
    private final Map<Long, Consumer<ResultCode>> mCallers = new HashMap<>();
    private Consumer<DirectEvent> mCallEvents;
    private RouterReducer mReducer;
    private int mStarts;
    private int mControl;
    private long mLastCaller;

    /**
     * Creates a router and starts it.
     *
     * @param number tells it from others, and which control instance it asks first
     */
    public FleetRouter(
            VirtualTime time, FleetControls controls, FleetBackends backends, int number) {
        mTime = time;
        mControls = controls;
        mBackends = backends;
        mName = "r" + number;
        mControl = number % controls.count();
        start();
        time.every(TICK_MILLIS, () -> give(new RouterEvent.Tick()));
    }

    /** Starts it anew; it knows nothing of before, and what it had under way is lost. */
    public void start() {
        mStarts++;
        int run = mStarts;
        mCallers.clear();
        mCallEvents =
                e -> {
                    if (run == mStarts) {
                        give(new RouterEvent.Direct(e));
                    }
                };
        mReducer =
                new RouterReducer(
                        new RouterConfig(
                                mName, mStarts, mTime.random().nextLong(), EXCHANGE_INTERVAL, 16));
    }

    /** Takes a caller's request; the caller is told OK, or why it got no whole answer. */
    public void submit(RoutedRequest request, Consumer<ResultCode> caller) {
        mCallers.put(++mLastCaller, caller);
        give(new RouterEvent.Direct(new DirectEvent.Arrived(mLastCaller, request)));
    }

    private void give(RouterEvent event) {
        int run = mStarts;
        mReducer.step(
                mTime.instant(),
                event,
                e -> {
                    if (run == mStarts) {
                        take(e);
                    }
                });
    }

    private void take(RouterEffect effect) {
        if (effect instanceof RouterEffect.SendExchange e) {
            exchange(e);
        } else if (effect instanceof RouterEffect.Direct d) {
            take(d.effect());
        }
    }

    private void take(DirectEffect effect) {
        if (effect instanceof DirectEffect.BeginCall e) {
            mBackends.call(e, mCallEvents);
        } else if (effect instanceof DirectEffect.CancelCall e) {
            mBackends.cancel(e.call(), mCallEvents);
        } else if (effect instanceof DirectEffect.AnswerWhole e) {
            tell(e.caller(), ResultCode.OK);
        } else if (effect instanceof DirectEffect.AnswerEnd e) {
            tell(e.caller(), ResultCode.OK);
        } else if (effect instanceof DirectEffect.AnswerError e) {
            tell(e.caller(), e.code());
        }
    }

    private void tell(long caller, ResultCode code) {
        Consumer<ResultCode> told = mCallers.remove(caller);
        if (told != null) {
            told.accept(code);
        }
    }

    private void exchange(RouterEffect.SendExchange e) {
        int run = mStarts;
        boolean[] ended = {false};
        RouterReport report = new RouterReport(mName, mStarts, "dc", "rg", mName, mName);
        mControls.call(
                mControl,
                call ->
                        new ControlEvent.RouterExchanged(
                                call, report, e.cursor(), 0, e.crashes(), e.loads()),
                answer -> {
                    if (run == mStarts && !ended[0]) {
                        ended[0] = true;
                        give(answered((AnswerExchange) answer));
                    }
                });
        mTime.after(
                EXCHANGE_TIMEOUT_MILLIS,
                () -> {
                    if (run == mStarts && !ended[0]) {
                        ended[0] = true;
                        mControl = (mControl + 1) % mControls.count();
                        give(new RouterEvent.ExchangeFailed("no answer"));
                    }
                });
    }

    private static RouterEvent answered(AnswerExchange a) {
        return new RouterEvent.ExchangeAnswered(
                a.membership(), a.crashes(), a.digest(), a.loads(), a.routerCount());
    }
}
