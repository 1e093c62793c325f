package org.laurelweir.router;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Consumer;
import org.laurelweir.errors.LaurelweirException;
import org.laurelweir.lib.ResultCode;
import org.laurelweir.router.http.CallHandler;
import org.laurelweir.router.http.CallerAnswer;
import org.laurelweir.router.http.HttpCall;
import org.laurelweir.router.request.ModelList;
import org.laurelweir.router.request.RequestResolver;
import org.laurelweir.routing.RouterEffect;
import org.laurelweir.routing.RouterEvent;

/** The callers whose answers are under way: their calls become events, effects their answers. */
final class Callers implements CallHandler {
    private static final FluentLogger sLogger = FluentLogger.forEnclosingClass();
    private static final int OK = 200;
    private static final String JSON = "application/json";

    private final RequestResolver mResolver;
    private final ModelList mModels;
    private final Consumer<RouterEvent> mEvents;
    private final RouterMetrics mMetrics;
    private final Map<Long, CallerAnswer> mAnswers = new ConcurrentHashMap<>();

    Callers(
            RequestResolver resolver,
            ModelList models,
            Consumer<RouterEvent> events,
            RouterMetrics metrics) {
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
            RouterEvent event = new RouterEvent.RequestArrived(caller, mResolver.resolve(call));
            mAnswers.put(caller, answer);
            mEvents.accept(event);
        } catch (LaurelweirException e) {
            refuse(answer, e.getCode(), e.getMessage());
        } catch (RuntimeException e) {
            sLogger.atSevere().withCause(e).log("a request could not be read");
            refuse(answer, ResultCode.INTERNAL, "the router failed to read the request");
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

    private void refuse(CallerAnswer answer, ResultCode code, String message) {
        mMetrics.answered(code);
        answer.error(code, message, Duration.ZERO);
    }

    @Override
    public void onGone(long caller) {
        if (mAnswers.remove(caller) != null) {
            mMetrics.answered(ResultCode.CALLER_GONE);
            mEvents.accept(new RouterEvent.CallerGone(caller));
        }
    }

    @Override
    public void onTaken(long caller, long offset) {
        if (mAnswers.containsKey(caller)) {
            mEvents.accept(new RouterEvent.CallerTook(caller, offset));
        }
    }

    void head(RouterEffect.AnswerHead e) {
        CallerAnswer answer = mAnswers.get(e.caller());
        if (answer != null) {
            answer.head(e.status(), e.headers());
        }
    }

    void data(RouterEffect.AnswerData e) {
        CallerAnswer answer = mAnswers.get(e.caller());
        if (answer != null) {
            answer.data(e.bytes());
        }
    }

    void end(RouterEffect.AnswerEnd e) {
        CallerAnswer answer = mAnswers.remove(e.caller());
        if (answer != null) {
            mMetrics.answered(ResultCode.OK);
            answer.end();
        }
    }

    void error(RouterEffect.AnswerError e) {
        CallerAnswer answer = mAnswers.remove(e.caller());
        if (answer != null) {
            mMetrics.answered(e.code());
            answer.error(e.code(), e.message(), e.retryAfter());
        }
    }

    int count() {
        return mAnswers.size();
    }
}
