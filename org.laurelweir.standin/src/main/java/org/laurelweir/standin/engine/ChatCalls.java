package org.laurelweir.standin.engine;

import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Queue;
import org.laurelweir.errors.LaurelweirException;
import org.laurelweir.lib.ResultCode;
import org.laurelweir.standin.ErrorBody;
import org.laurelweir.standin.Execution.Outcome;
import org.laurelweir.standin.ExecutionLog;
import org.laurelweir.standin.http.HttpExchange;

/** Passes events to the engine model and applies its effects to the calls. */
final class ChatCalls {
    private final InstantSource mClock;
    private final EngineModel mModel;
    private final ExecutionLog mLog;
    private final Map<String, ChatCall> mCalls = new HashMap<>();
    private final Queue<EngineEvent> mEvents = new ArrayDeque<>();
    private boolean mStepping;

    ChatCalls(InstantSource clock, EngineModel model, ExecutionLog log) {
        mClock = clock;
        mModel = model;
        mLog = log;
    }

    /**
     * Submits a call. Its answer goes to the connection, and the call is cancelled if the
     * connection closes.
     *
     * @param cutAfter the number of tokens after which the connection is cut
     */
    void submit(ChatCall call, HttpExchange exchange, int cutAfter) {
        mCalls.put(call.request().id(), call);
        attach(call, exchange, 0);
        step(new EngineEvent.Submit(call.request(), cutAfter));
    }

    /**
     * Sends a call's output from an offset on to another connection.
     *
     * @param cutAfter the number of tokens of the whole output after which the connection is cut
     * @throws LaurelweirException with {@code OUTPUT_NOT_KEPT} if the call is unknown or its output
     *     was dropped
     */
    void resume(String id, HttpExchange exchange, int offset, int cutAfter) {
        ChatCall call =
                Optional.ofNullable(mCalls.get(id))
                        .orElseThrow(() -> new LaurelweirException(ResultCode.OUTPUT_NOT_KEPT, id));
        // Tokens that are due by now go to the old connection; otherwise the new one would receive
        // them twice.
        step(new EngineEvent.Tick());
        attach(call, exchange, offset);
        step(new EngineEvent.Resume(id, offset, cutAfter));
    }

    /** Processes an event. Events that arise during processing follow in order. */
    void step(EngineEvent event) {
        mEvents.add(event);
        if (mStepping) {
            return;
        }
        mStepping = true;
        try {
            while (!mEvents.isEmpty()) {
                Instant now = mClock.instant();
                List<EngineEffect> effects = new ArrayList<>();
                mModel.step(now, mEvents.remove(), effects::add);
                effects.forEach(e -> apply(now, e));
            }
        } finally {
            mStepping = false;
        }
    }

    private void attach(ChatCall call, HttpExchange exchange, int offset) {
        String id = call.request().id();
        exchange.setHeader(EngineServer.ENGINE_REQUEST, id);
        exchange.onClose(
                () -> {
                    if (call.exchange() == exchange) {
                        step(new EngineEvent.Cancel(id));
                    }
                });
        call.attach(exchange, offset);
    }

    private void apply(Instant now, EngineEffect effect) {
        ChatCall call = mCalls.get(effect.id());
        if (effect instanceof EngineEffect.Started e) {
            mLog.start(now, e.id(), call.exchange(), call.digest());
            call.begin(e.cachedTokens());
        } else if (effect instanceof EngineEffect.Produced e) {
            call.sendTokens(e.from(), e.to());
        } else if (effect instanceof EngineEffect.Ended e) {
            end(now, call, e);
        } else if (effect instanceof EngineEffect.Rejected) {
            reject(call, ResultCode.OVERLOADED, "the engine's queue is full");
        } else if (effect instanceof EngineEffect.ResumeRejected) {
            reject(call, ResultCode.OUTPUT_NOT_KEPT, "no output is kept at this offset");
        } else if (effect instanceof EngineEffect.Forgotten e) {
            mCalls.remove(e.id());
        }
    }

    private void end(Instant now, ChatCall call, EngineEffect.Ended e) {
        mLog.end(now, e.id(), e.outcome(), call.work(e.outputTokens()));
        if (e.outcome() == Outcome.FINISHED) {
            call.finish();
        } else if (e.outcome() == Outcome.CUT) {
            call.cut();
        }
    }

    private static void reject(ChatCall call, ResultCode code, String message) {
        HttpExchange exchange = call.exchange();
        if (code == ResultCode.OVERLOADED) {
            exchange.setHeader("Retry-After", "1");
        }
        exchange.respond(code.httpStatus(), ErrorBody.of(code, message));
    }
}
