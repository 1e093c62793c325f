package org.laurelweir.standin.engine;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.laurelweir.errors.LaurelweirException;
import org.laurelweir.lib.ResultCode;
import org.laurelweir.lib.Service;
import org.laurelweir.standin.AdminEndpoints;
import org.laurelweir.standin.ErrorBody;
import org.laurelweir.standin.Execution.Outcome;
import org.laurelweir.standin.ExecutionLog;
import org.laurelweir.standin.Fault;
import org.laurelweir.standin.FaultPlan;
import org.laurelweir.standin.Json;
import org.laurelweir.standin.StandinProgram;
import org.laurelweir.standin.http.HttpExchange;
import org.laurelweir.standin.http.HttpServer;

/** Serves the engine model over HTTP. */
public final class EngineServer implements Service, StandinProgram.HttpService {
    /** Header with the engine's id of a request: in each answer, and in a call that resumes one. */
    public static final String ENGINE_REQUEST = "X-Engine-Request";

    /** Header with the output token from which a resumed answer starts. */
    public static final String RESUME_OFFSET = "X-Resume-Offset";

    private static final int OK = 200;

    private final EngineSettings mSettings;
    private final InstantSource mClock;
    private final HttpServer mServer;
    private final FaultPlan mFaults = new FaultPlan();
    private final ExecutionLog mLog;
    private final AdminEndpoints mAdmin;
    private final EngineState mState;
    private final CacheEvents mCacheEvents;
    private final EngineModel mModel;
    private final LoadReports mLoad;
    private final ChatParser mParser;
    private final ChatCalls mCalls;

    /** The answer to a read of the cache events. */
    private record CacheEventsAnswer(List<CacheEvents.CacheEvent> events) {}

    /** Creates an engine that is not started. */
    public EngineServer(EngineSettings settings, InstantSource clock) {
        Instant now = clock.instant();
        mSettings = settings;
        mClock = clock;
        mServer = new HttpServer(settings.listen(), this::handle);
        mLog = new ExecutionLog(settings.executions());
        mAdmin = new AdminEndpoints("/engine", mLog, mFaults);
        mState = new EngineState(settings, now);
        mCacheEvents =
                new CacheEvents(
                        settings.reports().cacheEventLag(),
                        settings.reports().cacheEventGapEvery());
        mModel = new EngineModel(settings.batch(), now, c -> mCacheEvents.add(clock.instant(), c));
        mLoad = new LoadReports(settings.reports().loadLag(), mModel.load());
        String idPrefix = settings.name() + "-" + Long.toHexString(now.toEpochMilli()) + "-";
        mParser = new ChatParser(idPrefix, settings.answerTokens());
        mCalls = new ChatCalls(clock, mModel, mLog);
    }

    @Override
    public void start() {
        mServer.start();
        long tick = mSettings.tick().toMillis();
        mServer.loop().scheduleAtFixedRate(this::tick, tick, tick, TimeUnit.MILLISECONDS);
    }

    @Override
    public void stop() {
        mServer.stop();
    }

    @Override
    public HttpServer server() {
        return mServer;
    }

    private void tick() {
        mCalls.step(new EngineEvent.Tick());
        mLoad.add(mModel.load());
    }

    private void handle(HttpExchange call) {
        Instant now = mClock.instant();
        if (mAdmin.handle(now, call)) {
            mCalls.step(new EngineEvent.Freeze(mFaults.heldUntil()));
            return;
        }
        Instant held = mFaults.heldUntil();
        if (held.isAfter(now)) {
            mServer.handleLater(call, Duration.between(now, held));
            return;
        }
        if (call.isOpen()) {
            route(now, call);
        }
    }

    private void route(Instant now, HttpExchange call) {
        switch (call.method() + " " + call.path()) {
            case "POST /v1/chat/completions" -> chat(now, call);
            case "GET /v1/models" -> call.respond(OK, ModelList.of(mState.read(now)));
            case "GET /engine/load" -> call.respond(OK, mLoad.read(now));
            case "GET /engine/cache-events" -> readCacheEvents(now, call);
            case "GET /engine/orders" -> call.respond(OK, mState.read(now));
            case "POST /engine/orders" -> order(now, call);
            default ->
                    throw new LaurelweirException(
                            ResultCode.UNKNOWN_SERVICE, call.method() + " " + call.path());
        }
    }

    private void chat(Instant now, HttpExchange call) {
        Optional<Fault> fault = mFaults.take(now);
        if (fault.isEmpty()) {
            answer(now, call, EngineEvent.NO_CUT);
            return;
        }
        Fault f = fault.get();
        switch (f.kind()) {
            case FREEZE -> freeze(now, call);
            case REFUSE ->
                    throw new LaurelweirException(
                            ResultCode.OVERLOADED, "refused by an injected fault");
            case LATE ->
                    mServer.loop()
                            .schedule(
                                    () -> answerLate(call),
                                    f.delay().toNanos(),
                                    TimeUnit.NANOSECONDS);
            case CUT -> answer(now, call, f.after());
            case UNFRAMED -> {
                call.endWithConnection();
                answer(now, call, EngineEvent.NO_CUT);
            }
            case UNFRAMED_CUT -> {
                call.endWithConnection();
                answer(now, call, f.after());
            }
            default -> throw new IllegalStateException(f.toString());
        }
    }

    private void answerLate(HttpExchange call) {
        if (!call.isOpen()) {
            return;
        }
        try {
            answer(mClock.instant(), call, EngineEvent.NO_CUT);
        } catch (LaurelweirException e) {
            call.respond(e.getCode().httpStatus(), ErrorBody.of(e.getCode(), e.getMessage()));
        }
    }

    private void answer(Instant now, HttpExchange call, int cutAfter) {
        Optional<String> resumed = call.header(ENGINE_REQUEST);
        if (resumed.isPresent()) {
            mCalls.resume(resumed.get(), call, offset(call), cutAfter);
            return;
        }
        ChatCall chat = parse(now, call);
        mCalls.submit(chat, call, cutAfter);
    }

    private ChatCall parse(Instant now, HttpExchange call) {
        ChatCall chat = mParser.parse(now, call);
        if (!mState.isReady(now, chat.model())) {
            throw new LaurelweirException(ResultCode.UNKNOWN_MODEL, chat.model());
        }
        return chat;
    }

    /**
     * Records a run that is never answered and ends only when its caller disconnects. A resume is
     * not recorded.
     */
    private void freeze(Instant now, HttpExchange call) {
        if (call.header(ENGINE_REQUEST).isPresent()) {
            return;
        }
        ChatCall chat = parse(now, call);
        String id = chat.request().id();
        mLog.start(now, id, call, chat.digest());
        call.onClose(() -> mLog.end(mClock.instant(), id, Outcome.CANCELLED, chat.work(0)));
    }

    private void order(Instant now, HttpExchange call) {
        mState.apply(now, Json.read(call.body(), EngineOrder.class));
        mCalls.step(new EngineEvent.DropCache());
        call.respond(OK, mState.read(now));
    }

    private void readCacheEvents(Instant now, HttpExchange call) {
        long after = number(call.query("after").orElse("0"));
        call.respond(OK, new CacheEventsAnswer(mCacheEvents.read(now, after)));
    }

    private static int offset(HttpExchange call) {
        return (int) number(call.header(RESUME_OFFSET).orElse("0"));
    }

    private static long number(String text) {
        try {
            return Long.parseLong(text);
        } catch (NumberFormatException e) {
            throw new LaurelweirException(ResultCode.BAD_REQUEST, "not a number: " + text, e);
        }
    }
}
