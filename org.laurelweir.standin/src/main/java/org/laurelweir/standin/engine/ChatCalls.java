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

/** Feeds the engine model with events and carries out its effects on the calls. */
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
     * Has a call run; its answer goes to the connection, and it is cancelled if that closes.
     *
     * @param cutAfter after how many tokens the connection is cut
     */
    void submit(ChatCall call, HttpExchange exchange, int cutAfter) {
        mCalls.put(call.request().id(), call);
        attach(call, exchange, 0);
        step(new EngineEvent.Submit(call.request(), cutAfter));
    }

    /**
     * Gives a call's output from an offset on to another connection.
     *
     * @param cutAfter after how many tokens of the whole output the connection is cut
     * @throws LaurelweirException with {@code OUTPUT_NOT_KEPT} if the call is not known any more
     */
    void resume(String id, HttpExchange exchange, int offset, int cutAfter) {
        ChatCall call =
                Optional.ofNullable(mCalls.get(id))
                        .orElseThrow(() -> new LaurelweirException(ResultCode.OUTPUT_NOT_KEPT, id));
        // What is due by now still goes to the old connection, or the new one would get it twice.
        step(new EngineEvent.Tick());
        attach(call, exchange, offset);
        step(new EngineEvent.Resume(id, offset, cutAfter));
    }

    /** Has the model take an event. Events that come up meanwhile follow in order. */
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
                effects.forEach(e -> carryOut(now, e));
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

    private void carryOut(Instant now, EngineEffect effect) {
        ChatCall call = mCalls.get(effect.id());
        if (effect instanceof EngineEffect.Started e) {
            mLog.start(now, e.id(), call.exchange(), call.digest());
            call.started(e.cachedTokens());
        } else if (effect instanceof EngineEffect.Produced e) {
            call.produced(e.from(), e.to());
        } else if (effect instanceof EngineEffect.Ended e) {
            end(now, call, e);
        } else if (effect instanceof EngineEffect.Rejected) {
            refuse(call, ResultCode.OVERLOADED, "too many requests wait");
        } else if (effect instanceof EngineEffect.NotKept) {
            refuse(call, ResultCode.OUTPUT_NOT_KEPT, "not kept at this offset");
        } else if (effect instanceof EngineEffect.Forgotten e) {
            mCalls.remove(e.id());
        }
    }

    private void end(Instant now, ChatCall call, EngineEffect.Ended e) {
        mLog.end(now, e.id(), e.how(), call.work(e.outputTokens()));
        if (e.how() == Outcome.FINISHED) {
            call.finished();
        } else if (e.how() == Outcome.CUT) {
            call.cut();
        }
    }

    private static void refuse(ChatCall call, ResultCode code, String message) {
        HttpExchange x = call.exchange();
        if (code == ResultCode.OVERLOADED) {
            x.setHeader("Retry-After", "1");
        }
        x.respond(code.httpStatus(), ErrorBody.of(code, message));
    }
}
