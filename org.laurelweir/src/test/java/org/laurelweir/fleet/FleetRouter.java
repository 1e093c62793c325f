package org.laurelweir.fleet;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.LongFunction;
import org.laurelweir.coordination.ControlEffect;
import org.laurelweir.coordination.ControlEffect.AnswerExchange;
import org.laurelweir.coordination.ControlEvent;
import org.laurelweir.direct.DirectEffect;
import org.laurelweir.direct.DirectEvent;
import org.laurelweir.direct.RetryLimits;
import org.laurelweir.direct.RoutedRequest;
import org.laurelweir.lib.ResultCode;
import org.laurelweir.membership.RouterReport;
import org.laurelweir.routing.RouterConfig;
import org.laurelweir.routing.RouterEffect;
import org.laurelweir.routing.RouterEvent;
import org.laurelweir.routing.RouterReducer;

/** A simulated router that exchanges with the control instances and calls backend servers. */
public final class FleetRouter {
    private static final int TICK_MILLIS = 10;
    private static final Duration EXCHANGE_INTERVAL = Duration.ofMillis(300);
    private static final int EXCHANGE_TIMEOUT_MILLIS = 800;
    private static final RetryLimits RETRY_LIMITS =
            new RetryLimits(0.2, 100, Duration.ofSeconds(10), 3, 0.7);

    private final VirtualTime mTime;
    private final FleetControls mControls;
    private final FleetBackends mBackends;
    private final String mName;
    private final Map<Long, FleetCaller> mCallers = new HashMap<>();
    private Consumer<DirectEvent> mCallEvents;
    private RouterReducer mReducer;
    private int mStarts;
    private int mControlIndex;
    private long mLastCaller;
    private boolean mIsCutOff;
    private int mMaxHearingDelayMillis;
    private final FleetOrigins mOrigins;

    /**
     * Creates a router and starts it.
     *
     * @param number sets the router's name and the control instance that it exchanges with first
     */
    public FleetRouter(
            VirtualTime time, FleetControls controls, FleetBackends backends, int number) {
        mTime = time;
        mControls = controls;
        mBackends = backends;
        mName = "r" + number;
        mControlIndex = number % controls.count();
        mOrigins = new FleetOrigins(time, controls.count(), this::callControl);
        start();
        time.every(TICK_MILLIS, () -> step(new RouterEvent.Tick()));
    }

    /** Kills the router and starts it anew at once. Its callers lose their connections. */
    public void restart() {
        List<FleetCaller> callers = List.copyOf(mCallers.values());
        start();
        callers.forEach(c -> c.onEnd(ResultCode.ANSWER_CUT));
    }

    /** Cuts the router off from control, or ends that. Callers and backend servers reach it. */
    public void setCutOff(boolean isCutOff) {
        mIsCutOff = isCutOff;
    }

    /** Delays the answers of control by up to a number of milliseconds from now on. */
    public void setMaxHearingDelayMillis(int millis) {
        mMaxHearingDelayMillis = millis;
    }

    /** Starts or restarts the router. A restart loses its state and the requests in flight. */
    public void start() {
        mStarts++;
        int run = mStarts;
        mCallers.clear();
        mCallEvents =
                e -> {
                    if (run == mStarts) {
                        step(new RouterEvent.Direct(e));
                    }
                };
        mReducer =
                new RouterReducer(
                        new RouterConfig(
                                mName,
                                mStarts,
                                mTime.random().nextLong(),
                                EXCHANGE_INTERVAL,
                                16,
                                RETRY_LIMITS));
    }

    /**
     * Submits a caller's request. The caller gets {@code OK}, or the code with which its answer
     * failed.
     */
    public void submit(RoutedRequest request, Consumer<ResultCode> caller) {
        submitStream(request, caller::accept);
    }

    /** Submits a caller's request whose answer is a stream. */
    public void submitStream(RoutedRequest request, FleetCaller caller) {
        mCallers.put(++mLastCaller, caller);
        step(new RouterEvent.Direct(new DirectEvent.RequestArrived(mLastCaller, request)));
    }

    private void step(RouterEvent event) {
        int run = mStarts;
        mReducer.step(
                mTime.instant(),
                event,
                e -> {
                    if (run == mStarts) {
                        onEffect(e);
                    }
                });
    }

    private void onEffect(RouterEffect effect) {
        if (effect instanceof RouterEffect.SendExchange e) {
            exchange(e);
        } else if (effect instanceof RouterEffect.Direct d) {
            onEffect(d.effect());
        }
    }

    private void onEffect(DirectEffect effect) {
        if (effect instanceof DirectEffect.BeginCall e) {
            mBackends.call(e, mCallEvents);
        } else if (effect instanceof DirectEffect.CheckBackend e) {
            mBackends.check(e, mCallEvents);
        } else if (effect instanceof DirectEffect.CancelCall e) {
            mBackends.cancel(e.call(), mCallEvents);
        } else if (effect instanceof DirectEffect.RecordStream e) {
            mOrigins.record(e, mCallEvents);
        } else if (effect instanceof DirectEffect.FindStream e) {
            mOrigins.find(e, mCallEvents);
        } else if (effect instanceof DirectEffect.AnswerData e) {
            FleetCaller caller = mCallers.get(e.caller());
            if (caller != null) {
                caller.onData(e.bytes());
            }
        } else if (effect instanceof DirectEffect.AnswerComplete e) {
            answerCaller(e.caller(), ResultCode.OK);
        } else if (effect instanceof DirectEffect.AnswerEnd e) {
            answerCaller(e.caller(), ResultCode.OK);
        } else if (effect instanceof DirectEffect.AnswerError e) {
            answerCaller(e.caller(), e.code());
        }
    }

    private void answerCaller(long caller, ResultCode code) {
        FleetCaller receiver = mCallers.remove(caller);
        if (receiver != null) {
            receiver.onEnd(code);
        }
    }

    private void exchange(RouterEffect.SendExchange e) {
        int run = mStarts;
        boolean[] ended = {false};
        RouterReport report = new RouterReport(mName, mStarts, "dc", "rg", mName, mName);
        callControl(
                mControlIndex,
                call ->
                        new ControlEvent.RouterExchanged(
                                call,
                                report,
                                e.cursor(),
                                0,
                                e.crashes(),
                                e.loads(),
                                e.contention()),
                answer -> {
                    if (run == mStarts && !ended[0]) {
                        ended[0] = true;
                        step(exchangeAnswered((AnswerExchange) answer));
                    }
                });
        mTime.after(
                EXCHANGE_TIMEOUT_MILLIS,
                () -> {
                    if (run == mStarts && !ended[0]) {
                        ended[0] = true;
                        mControlIndex = (mControlIndex + 1) % mControls.count();
                        step(new RouterEvent.ExchangeFailed("no answer"));
                    }
                });
    }

    /** Calls a control instance; a router that is cut off gets no answer. */
    private void callControl(
            int control, LongFunction<ControlEvent> event, Consumer<ControlEffect.Answer> answer) {
        if (mIsCutOff) {
            return;
        }
        int delay =
                mMaxHearingDelayMillis == 0 ? 0 : mTime.random().nextInt(mMaxHearingDelayMillis);
        mControls.call(control, event, a -> mTime.after(delay, () -> deliver(answer, a)));
    }

    private void deliver(Consumer<ControlEffect.Answer> receiver, ControlEffect.Answer answer) {
        if (!mIsCutOff) {
            receiver.accept(answer);
        }
    }

    private static RouterEvent exchangeAnswered(AnswerExchange a) {
        return new RouterEvent.ExchangeAnswered(
                a.membership(),
                a.crashes(),
                a.digest(),
                a.loads(),
                a.routerCount(),
                a.rules(),
                a.contention());
    }
}
