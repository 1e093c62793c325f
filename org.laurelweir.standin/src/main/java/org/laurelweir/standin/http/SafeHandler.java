package org.laurelweir.standin.http;

import com.google.common.flogger.FluentLogger;
import org.laurelweir.errors.LaurelweirException;
import org.laurelweir.lib.ResultCode;
import org.laurelweir.standin.ErrorBody;

/** Wraps a handler and answers its exceptions with an error body. */
final class SafeHandler implements HttpHandler {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();
    private static final int UNAVAILABLE = 503;

    private final HttpHandler mHandler;

    SafeHandler(HttpHandler handler) {
        mHandler = handler;
    }

    @Override
    public void handle(HttpExchange call) {
        try {
            mHandler.handle(call);
        } catch (LaurelweirException e) {
            answer(call, e.getCode(), e.getMessage());
        } catch (RuntimeException e) {
            LOGGER.atSevere().withCause(e).log("%s %s failed", call.method(), call.path());
            answer(call, ResultCode.INTERNAL, e.toString());
        }
    }

    private static void answer(HttpExchange call, ResultCode code, String message) {
        if (code.httpStatus() == UNAVAILABLE) {
            call.setHeader("Retry-After", "1");
        }
        call.respond(code.httpStatus(), ErrorBody.of(code, message));
    }
}
