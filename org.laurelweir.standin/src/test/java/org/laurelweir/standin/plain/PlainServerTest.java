package org.laurelweir.standin.plain;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import java.net.http.HttpResponse;
import java.time.InstantSource;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.laurelweir.standin.Execution;
import org.laurelweir.standin.Execution.Outcome;
import org.laurelweir.standin.HttpCalls;

/** Whole HTTP calls to a plain service. */
@Timeout(120)
class PlainServerTest {
    private PlainServer mPlain;
    private HttpCalls mCalls;

    @BeforeEach
    void start() {
        PlainSettings settings = PlainSettings.named("bookings");
        mPlain = new PlainServer(settings, InstantSource.system());
        mPlain.start();
        mCalls = new HttpCalls(mPlain.server().address());
    }

    @AfterEach
    void stop() {
        mPlain.stop();
    }

    @Test
    void aCallThatIsSentTwiceShowsTwice() {
        mCalls.call("POST", "/bookings", "{}", "Idempotency-Key", "k-1");
        mCalls.call("POST", "/bookings", "{}", "Idempotency-Key", "k-1");

        assertThat(mCalls.executions("/plain").executions())
                .extracting(Execution::idempotencyKey)
                .containsExactly("k-1", "k-1");
    }

    @Test
    void anyMethodIsAnsweredUnderItsPath() {
        HttpResponse<String> r = mCalls.call("GET", "/bookings/1", "");

        assertThat(r.statusCode()).isEqualTo(200);
        assertThat(r.body()).contains("\"service\":\"bookings\"").contains("\"/bookings/1\"");
        assertThat(mCalls.call("POST", "/certificates", "{}").statusCode()).isEqualTo(201);
    }

    /**
     * The caller sees 503 and may send again, as nothing was run. The next call is cut in the
     * middle of its answer: the caller can't tell whether it ran, but the record shows that it did.
     */
    @Test
    void aRefusedCallIsNotRunAndACutOneIs() {
        mCalls.call("POST", "/plain/faults", "{\"kind\":\"refuse\"}");
        mCalls.call("POST", "/plain/faults", "{\"kind\":\"cut\",\"after\":5}");

        assertThat(mCalls.call("POST", "/bookings", "{}").statusCode()).isEqualTo(503);
        assertThatThrownBy(() -> mCalls.call("POST", "/bookings", "{}"))
                .hasRootCauseInstanceOf(IOException.class);
        assertThat(mCalls.executions("/plain").executions())
                .extracting(Execution::outcome)
                .containsExactly(Outcome.CUT);
    }

    /**
     * The caller sees silence: the call is accepted and run, but no answer comes. Another
     * connection works meanwhile, so the record can be read.
     */
    @Test
    void aFrozenCallIsRecordedAsRunning() {
        mCalls.call("POST", "/plain/faults", "{\"kind\":\"freeze\"}");
        CompletableFuture<HttpResponse<String>> silent = mCalls.send("POST", "/bookings", "{}");
        while (mCalls.executions("/plain").executions().isEmpty()) {
            Thread.onSpinWait();
        }

        assertThat(mCalls.executions("/plain").executions())
                .extracting(Execution::outcome)
                .containsExactly(Outcome.RUNNING);
        assertThat(silent).isNotDone();
    }
}
