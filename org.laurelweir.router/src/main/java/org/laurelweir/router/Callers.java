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

/**
 * The callers whose requests are in flight. Turns their requests into events for the decision loop,
 * and the loop's effects into their answers.
 */
final class Callers implements CallHandler {
    private static final FluentLogger sLogger = FluentLogger.forEnclosingClass();
    private static final int OK = 200;
    private static final String JSON = "application/json";

    /**
     * Maximum Retry-After for a caller that this router can't serve yet. It is about the time from
     * a restart of the whole deployment to the first settings. Callers retry only once or twice.
     */
    private static final Duration MAX_RETRY_AFTER = Duration.ofMillis(1500);

    /**
     * Retry-After is at most the caller's timeout divided by this number. That is a third of the
     * remaining time of a caller that waited for the first settings, which takes a quarter of the
     * timeout.
     */
    private static final int RETRY_AFTER_DIVISOR = 4;

    /** Number of bytes sent to a caller and not taken by its connection that block its answer. */
    private static final long MAX_WAITING_BYTES = 256 << 10;

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
            Optional<RoutedRequest> routed = mRoutes.resolve(call);
            if (routed.isEmpty() && call.path().equals(ModelList.PATH)) {
                listModels(call, answer);
                return;
            }
            RouterEvent event =
                    routed.isPresent()
                            ? toRouterEvent(new DirectEvent.RequestArrived(caller, routed.get()))
                            : new RouterEvent.RequestArrived(caller, mResolver.resolve(call));
            mCallers.put(caller, new Caller(answer, routed.isPresent()));
            mEvents.accept(event);
        } catch (LaurelweirException e) {
            logRefusal(call, e);
            refuse(answer, e.getCode(), e.getMessage(), retryAfter(call));
        } catch (RuntimeException e) {
            sLogger.atSevere().withCause(e).log("failed to resolve a caller's request");
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

    /** Logs a request that is refused before the decision loop sees it. */
    private void logRefusal(HttpCall call, LaurelweirException e) {
        mDecisions.accept(mRoutes.refusalDecision(call, e));
    }

    private Duration retryAfter(HttpCall call) {
        Duration max = mRoutes.callerTimeout(call).dividedBy(RETRY_AFTER_DIVISOR);
        return max.compareTo(MAX_RETRY_AFTER) < 0 ? max : MAX_RETRY_AFTER;
    }

    private void refuse(CallerAnswer answer, ResultCode code, String message, Duration retryAfter) {
        mMetrics.countAnswer(code);
        answer.error(code, message, code.isNotRun() ? retryAfter : Duration.ZERO);
    }

    @Override
    public void onGone(long caller) {
        Caller c = mCallers.remove(caller);
        if (c != null) {
            mMetrics.countAnswer(ResultCode.CALLER_GONE);
            mEvents.accept(
                    c.mDirect
                            ? toRouterEvent(new DirectEvent.CallerGone(caller))
                            : new RouterEvent.CallerGone(caller));
        }
    }

    @Override
    public void onConsumed(long caller, long offset) {
        Caller c = mCallers.get(caller);
        if (c != null) {
            c.mConsumedBytes = offset;
            if (c.mDirect) {
                updateBlocked(caller, c);
                return;
            }
            mEvents.accept(new RouterEvent.OutputConsumed(caller, offset));
        }
    }

    /** Stops reading the answer for a caller that does not read it, and reads on once it does. */
    private void updateBlocked(long caller, Caller c) {
        synchronized (c) {
            long waiting = c.mSentBytes - c.mConsumedBytes;
            boolean blocked = waiting > (c.mBlocked ? MAX_WAITING_BYTES / 2 : MAX_WAITING_BYTES);
            if (blocked != c.mBlocked) {
                c.mBlocked = blocked;
                mEvents.accept(toRouterEvent(new DirectEvent.CallerBlocked(caller, blocked)));
            }
        }
    }

    private static RouterEvent toRouterEvent(DirectEvent event) {
        return new RouterEvent.Direct(event);
    }

    void whole(DirectEffect.AnswerComplete e) {
        Caller c = mCallers.remove(e.caller());
        if (c != null) {
            mMetrics.countAnswer(ResultCode.OK);
            c.mAnswer.whole(e.status(), e.headers(), e.body());
        }
    }

    void bodyDropped(DirectEffect.BodyDropped e) {
        Caller c = mCallers.get(e.caller());
        if (c != null) {
            c.mAnswer.bodyDropped();
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
            c.mSentBytes += e.bytes().length;
            c.mAnswer.data(e.bytes());
            if (c.mDirect) {
                updateBlocked(e.caller(), c);
            }
        }
    }

    void end(RouterEffect.AnswerEnd e) {
        Caller c = mCallers.remove(e.caller());
        if (c != null) {
            mMetrics.countAnswer(ResultCode.OK);
            c.mAnswer.end();
        }
    }

    void error(RouterEffect.AnswerError e) {
        Caller c = mCallers.remove(e.caller());
        if (c != null) {
            mMetrics.countAnswer(e.code());
            c.mAnswer.error(e.code(), e.message(), e.retryAfter());
        }
    }

    int count() {
        return mCallers.size();
    }

    /** Returns the number of answer bytes sent to callers that they have not consumed yet. */
    long waitingBytes() {
        return mCallers.values().stream()
                .mapToLong(c -> Math.max(0, c.mSentBytes - c.mConsumedBytes))
                .sum();
    }

    /** One caller's answer and its progress in bytes. */
    private static final class Caller {
        private final CallerAnswer mAnswer;
        private final boolean mDirect;
        private volatile long mSentBytes;
        private volatile long mConsumedBytes;
        private boolean mBlocked;

        Caller(CallerAnswer answer, boolean direct) {
            mAnswer = answer;
            mDirect = direct;
        }
    }
}
