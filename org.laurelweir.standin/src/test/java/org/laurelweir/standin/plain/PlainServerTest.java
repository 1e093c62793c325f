package org.laurelweir.standin.plain;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import java.net.http.HttpResponse;
import java.time.InstantSource;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.laurelweir.standin.Execution;
import org.laurelweir.standin.Execution.Outcome;
import org.laurelweir.standin.HttpCalls;

/** Checks HTTP calls to a plain service. */
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
    void callSentTwiceIsRecordedTwice() {
        mCalls.call("POST", "/bookings", "{}", "Idempotency-Key", "k-1");
        mCalls.call("POST", "/bookings", "{}", "Idempotency-Key", "k-1");

        assertThat(mCalls.executions("/plain").executions())
                .extracting(Execution::idempotencyKey)
                .containsExactly("k-1", "k-1");
    }

    @Test
    void anyMethodAndPathIsAnswered() {
        HttpResponse<String> r = mCalls.call("GET", "/bookings/1", "");

        assertThat(r.statusCode()).isEqualTo(200);
        assertThat(r.body()).contains("\"service\":\"bookings\"").contains("\"/bookings/1\"");
        assertThat(mCalls.call("POST", "/certificates", "{}").statusCode()).isEqualTo(201);
    }

    /**
     * A refused call gets 503 and is not run, so the caller may retry it. A call that is cut in the
     * middle of its answer has run; its caller cannot tell, but the execution log shows it.
     */
    @Test
    void refusedCallIsNotRunAndCutCallIs() {
        mCalls.call("POST", "/plain/faults", "{\"kind\":\"refuse\"}");
        mCalls.call("POST", "/plain/faults", "{\"kind\":\"cut\",\"after\":5}");

        assertThat(mCalls.call("POST", "/bookings", "{}").statusCode()).isEqualTo(503);
        assertThatThrownBy(() -> mCalls.call("POST", "/bookings", "{}"))
                .hasRootCauseInstanceOf(IOException.class);
        assertThat(mCalls.executions("/plain").executions())
                .extracting(Execution::outcome)
                .containsExactly(Outcome.CUT);
    }

    /** By HTTP such an answer is over when its connection is closed, also in its middle. */
    @Test
    void answerWithoutALengthEndsWithItsConnection() {
        mCalls.call("POST", "/plain/faults", "{\"kind\":\"unframed\"}");
        mCalls.call("POST", "/plain/faults", "{\"kind\":\"unframed_cut\",\"after\":5}");

        HttpResponse<String> whole = mCalls.call("GET", "/bookings/1", "");
        HttpResponse<String> cut = mCalls.call("GET", "/bookings/1", "");
        for (HttpResponse<String> r : List.of(whole, cut)) {
            assertThat(r.headers().firstValue("content-length")).isEmpty();
            assertThat(r.headers().firstValue("transfer-encoding")).isEmpty();
        }
        assertThat(whole.body()).endsWith("}");
        assertThat(cut.body()).hasSize(5);
        assertThat(mCalls.call("GET", "/bookings/1", "").headers().firstValue("content-length"))
                .isPresent();
    }

    /**
     * A frozen call is accepted and run, but never answered. Other connections still work, so the
     * execution log can be read.
     */
    @Test
    void frozenCallIsRecordedAsRunning() {
        mCalls.call("POST", "/plain/faults", "{\"kind\":\"freeze\"}");
        CompletableFuture<HttpResponse<String>> unanswered = mCalls.send("POST", "/bookings", "{}");
        while (mCalls.executions("/plain").executions().isEmpty()) {
            Thread.onSpinWait();
        }

        assertThat(mCalls.executions("/plain").executions())
                .extracting(Execution::outcome)
                .containsExactly(Outcome.RUNNING);
        assertThat(unanswered).isNotDone();
    }
}
