package org.laurelweir.standin.plain;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.laurelweir.errors.LaurelweirException;
import org.laurelweir.lib.ResultCode;
import org.laurelweir.lib.Service;
import org.laurelweir.standin.AdminEndpoints;
import org.laurelweir.standin.Execution.Outcome;
import org.laurelweir.standin.ExecutionLog;
import org.laurelweir.standin.Fault;
import org.laurelweir.standin.FaultPlan;
import org.laurelweir.standin.Json;
import org.laurelweir.standin.StandinProgram;
import org.laurelweir.standin.chat.Prompt;
import org.laurelweir.standin.http.HttpExchange;
import org.laurelweir.standin.http.HttpServer;

/**
 * Runs any call under any path and answers what it ran. A call is run when it is taken, whether or
 * not its caller stays, so a call that is sent twice shows twice in the record.
 */
public final class PlainServer implements Service, StandinProgram.Listening {
    private static final int OK = 200;
    private static final int CREATED = 201;
    private static final String POST = "POST";
    private static final String JSON = "application/json";

    private final PlainSettings mSettings;
    private final InstantSource mClock;
    private final HttpServer mServer;
    private final FaultPlan mFaults = new FaultPlan();
    private final ExecutionLog mLog;
    private final AdminEndpoints mAdmin;
    private final String mIdPrefix;
    private long mCount;

    /** Creates a service. */
    public PlainServer(PlainSettings settings, InstantSource clock) {
        mSettings = settings;
        mClock = clock;
        mServer = new HttpServer(settings.listen(), this::handle);
        mLog = new ExecutionLog(settings.executions());
        mAdmin = new AdminEndpoints("/plain", mLog, mFaults);
        mIdPrefix = settings.name() + "-" + Long.toHexString(clock.millis()) + "-";
    }

    @Override
    public void start() {
        mServer.start();
    }

    @Override
    public void stop() {
        mServer.stop();
    }

    @Override
    public HttpServer server() {
        return mServer;
    }

    private void handle(HttpExchange call) {
        Instant now = mClock.instant();
        if (mAdmin.handle(now, call)) {
            return;
        }
        Instant held = mFaults.heldUntil();
        if (held.isAfter(now)) {
            mServer.handleLater(call, Duration.between(now, held));
            return;
        }
        take(now, call);
    }

    private void take(Instant now, HttpExchange call) {
        Optional<Fault> fault = mFaults.take(now);
        Duration work = mSettings.workTime();
        if (fault.isEmpty()) {
            PlainAnswer a = execute(now, call);
            later(work, () -> finish(call, a));
            return;
        }
        Fault f = fault.get();
        switch (f.kind()) {
            case FREEZE -> execute(now, call);
            case REFUSE -> throw new LaurelweirException(ResultCode.OVERLOADED, "told to refuse");
            case LATE -> {
                PlainAnswer a = execute(now, call);
                later(work.plus(f.delay()), () -> finish(call, a));
            }
            case CUT -> {
                PlainAnswer a = execute(now, call);
                later(work, () -> cut(call, a, f.after()));
            }
            default -> throw new IllegalStateException(f.toString());
        }
    }

    private PlainAnswer execute(Instant now, HttpExchange call) {
        mCount++;
        String id = mIdPrefix + mCount;
        String digest = Prompt.digest(call.body());
        mLog.start(now, id, call, digest);
        boolean makes = call.method().equals(POST);
        String resource = makes ? call.path() + "/" + mCount : call.path();
        return new PlainAnswer(mSettings.name(), id, call.method(), call.path(), digest, resource);
    }

    private void finish(HttpExchange call, PlainAnswer answer) {
        mLog.end(mClock.instant(), answer.execution(), Outcome.FINISHED, null);
        call.respond(status(answer), answer);
    }

    private void cut(HttpExchange call, PlainAnswer answer, int after) {
        mLog.end(mClock.instant(), answer.execution(), Outcome.CUT, null);
        byte[] body = Json.write(answer).getBytes(StandardCharsets.UTF_8);
        call.cut(status(answer), JSON, body, after);
    }

    private static int status(PlainAnswer answer) {
        return answer.method().equals(POST) ? CREATED : OK;
    }

    private void later(Duration wait, Runnable action) {
        if (wait.isZero()) {
            action.run();
            return;
        }
        mServer.loop().schedule(action, wait.toNanos(), TimeUnit.NANOSECONDS);
    }
}
