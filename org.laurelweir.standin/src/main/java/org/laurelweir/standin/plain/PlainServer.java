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
 * Runs any call to any path and answers with a description of the call. A call runs as soon as it
 * arrives, even if its caller disconnects, so a call that is sent twice is recorded twice.
 */
public final class PlainServer implements Service, StandinProgram.HttpService {
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

    /** Creates a service that is not started. */
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
        process(now, call);
    }

    private void process(Instant now, HttpExchange call) {
        Optional<Fault> fault = mFaults.take(now);
        Duration work = mSettings.workTime();
        if (fault.isEmpty()) {
            PlainAnswer answer = execute(now, call);
            schedule(work, () -> finish(call, answer));
            return;
        }
        Fault appliedFault = fault.get();
        switch (appliedFault.kind()) {
            case FREEZE -> execute(now, call);
            case REFUSE ->
                    throw new LaurelweirException(
                            ResultCode.OVERLOADED, "refused by an injected fault");
            case LATE -> {
                PlainAnswer answer = execute(now, call);
                schedule(work.plus(appliedFault.delay()), () -> finish(call, answer));
            }
            case CUT -> {
                PlainAnswer answer = execute(now, call);
                schedule(work, () -> cut(call, answer, appliedFault.after()));
            }
            case UNFRAMED -> {
                call.endWithConnection();
                PlainAnswer answer = execute(now, call);
                schedule(work, () -> finish(call, answer));
            }
            case UNFRAMED_CUT -> {
                call.endWithConnection();
                PlainAnswer answer = execute(now, call);
                schedule(work, () -> cut(call, answer, appliedFault.after()));
            }
            default -> throw new IllegalStateException(appliedFault.toString());
        }
    }

    private PlainAnswer execute(Instant now, HttpExchange call) {
        mCount++;
        String id = mIdPrefix + mCount;
        String digest = Prompt.digest(call.body());
        mLog.start(now, id, call, digest);
        boolean creates = call.method().equals(POST);
        String resource = creates ? call.path() + "/" + mCount : call.path();
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

    private void schedule(Duration delay, Runnable action) {
        if (delay.isZero()) {
            action.run();
            return;
        }
        mServer.loop().schedule(action, delay.toNanos(), TimeUnit.NANOSECONDS);
    }
}
