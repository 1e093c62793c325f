package org.laurelweir.router;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Consumer;
import org.laurelweir.direct.DirectEffect;
import org.laurelweir.direct.DirectEvent;
import org.laurelweir.direct.RoutedRequest;
import org.laurelweir.errors.LaurelweirException;
import org.laurelweir.lib.Decision;
import org.laurelweir.lib.ResultCode;
import org.laurelweir.router.http.CallHandler;
import org.laurelweir.router.http.CallerAnswer;
import org.laurelweir.router.http.HttpCall;
import org.laurelweir.router.request.ModelList;
import org.laurelweir.router.request.RequestResolver;
import org.laurelweir.router.request.RouteResolver;
import org.laurelweir.routing.RouterEffect;
import org.laurelweir.routing.RouterEvent;

/** The callers whose answers are under way: their calls become events, effects their answers. */
final class Callers implements CallHandler {
    private static final FluentLogger sLogger = FluentLogger.forEnclosingClass();
    private static final int OK = 200;
    private static final String JSON = "application/json";

    /**
     * When a caller comes back whom this router can't serve yet: about the time from a restart of
     * everything to the first settings. Callers come back once or twice only.
     */
    private static final Duration COME_BACK = Duration.ofMillis(1500);

    /**
     * A caller comes back within a third of the time that it has left. One that waited here first
     * has three quarters of its time, of which this part of the whole is a third.
     */
    private static final int PART_OF_TIME = 4;

    private final RouteResolver mRoutes;
    private final RequestResolver mResolver;
    private final ModelList mModels;
    private final Consumer<RouterEvent> mEvents;
    private final RouterMetrics mMetrics;
    private final Consumer<Decision> mDecisions;
    private final Map<Long, Caller> mCallers = new ConcurrentHashMap<>();

    Callers(
            RouteResolver routes,
            RequestResolver resolver,
            ModelList models,
            Consumer<RouterEvent> events,
            RouterMetrics metrics,
            Consumer<Decision> decisions) {
        mDecisions = decisions;
        mRoutes = routes;
        mResolver = resolver;
        mModels = models;
        mEvents = events;
        mMetrics = metrics;
    }

    @Override
    public void onCall(long caller, HttpCall call, CallerAnswer answer) {
        try {
            if (call.path().equals(ModelList.PATH)) {
                listModels(call, answer);
                return;
            }
            Optional<RoutedRequest> routed = mRoutes.resolve(call);
            RouterEvent event =
                    routed.isPresent()
                            ? direct(new DirectEvent.Arrived(caller, routed.get()))
                            : new RouterEvent.RequestArrived(caller, mResolver.resolve(call));
            mCallers.put(caller, new Caller(answer, routed.isPresent()));
            mEvents.accept(event);
        } catch (LaurelweirException e) {
            noteRefusal(call, e);
            refuse(answer, e.getCode(), e.getMessage(), comeBack(call));
        } catch (RuntimeException e) {
            sLogger.atSevere().withCause(e).log("a request could not be read");
            String message = "the router failed to read the request";
            refuse(answer, ResultCode.INTERNAL, message, Duration.ZERO);
        }
    }

    private void listModels(HttpCall call, CallerAnswer answer) {
        if (!call.method().equals("GET")) {
            throw new LaurelweirException(
                    ResultCode.METHOD_NOT_ALLOWED, "models are listed by GET");
        }
        mResolver.accountOf(call);
        answer.whole(OK, JSON, mModels.toJson());
    }

    /** A request that is turned away before any decision leaves its line here. */
    private void noteRefusal(HttpCall call, LaurelweirException e) {
        mDecisions.accept(mRoutes.refusal(call, e));
    }

    private Duration comeBack(HttpCall call) {
        Duration most = mRoutes.callersTime(call).dividedBy(PART_OF_TIME);
        return most.compareTo(COME_BACK) < 0 ? most : COME_BACK;
    }

    private void refuse(CallerAnswer answer, ResultCode code, String message, Duration comeBack) {
        mMetrics.answered(code);
        answer.error(code, message, code.isNotRun() ? comeBack : Duration.ZERO);
    }

    @Override
    public void onGone(long caller) {
        Caller c = mCallers.remove(caller);
        if (c != null) {
            mMetrics.answered(ResultCode.CALLER_GONE);
            mEvents.accept(
                    c.mDirect
                            ? direct(new DirectEvent.CallerGone(caller))
                            : new RouterEvent.CallerGone(caller));
        }
    }

    @Override
    public void onTaken(long caller, long offset) {
        Caller c = mCallers.get(caller);
        if (c != null) {
            c.mTaken = offset;
            if (c.mDirect) {
                return;
            }
            mEvents.accept(new RouterEvent.OutputConsumed(caller, offset));
        }
    }

    private static RouterEvent direct(DirectEvent event) {
        return new RouterEvent.Direct(event);
    }

    void whole(DirectEffect.AnswerWhole e) {
        Caller c = mCallers.remove(e.caller());
        if (c != null) {
            mMetrics.answered(ResultCode.OK);
            c.mAnswer.whole(e.status(), e.headers(), e.body());
        }
    }

    void head(RouterEffect.AnswerHead e) {
        Caller c = mCallers.get(e.caller());
        if (c != null) {
            c.mAnswer.head(e.status(), e.headers());
        }
    }

    void data(RouterEffect.AnswerData e) {
        Caller c = mCallers.get(e.caller());
        if (c != null) {
            c.mSent += e.bytes().length;
            c.mAnswer.data(e.bytes());
        }
    }

    void end(RouterEffect.AnswerEnd e) {
        Caller c = mCallers.remove(e.caller());
        if (c != null) {
            mMetrics.answered(ResultCode.OK);
            c.mAnswer.end();
        }
    }

    void error(RouterEffect.AnswerError e) {
        Caller c = mCallers.remove(e.caller());
        if (c != null) {
            mMetrics.answered(e.code());
            c.mAnswer.error(e.code(), e.message(), e.retryAfter());
        }
    }

    int count() {
        return mCallers.size();
    }

    /** Returns the bytes of answers under way that callers have not taken yet. */
    long waitingBytes() {
        return mCallers.values().stream().mapToLong(c -> Math.max(0, c.mSent - c.mTaken)).sum();
    }

    /** One caller's answer, and how far it has got. */
    private static final class Caller {
        private final CallerAnswer mAnswer;
        private final boolean mDirect;
        private volatile long mSent;
        private volatile long mTaken;

        Caller(CallerAnswer answer, boolean direct) {
            mAnswer = answer;
            mDirect = direct;
        }
    }
}
