package org.laurelweir.direct;

import static org.assertj.core.api.Assertions.assertThat;
import static org.laurelweir.direct.DirectRoutingDriver.GENUINE;
import static org.laurelweir.direct.DirectRoutingDriver.NOT_RUN;
import static org.laurelweir.direct.DirectRoutingDriver.route;

import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.laurelweir.direct.DirectEffect.AnswerComplete;
import org.laurelweir.direct.DirectEffect.AnswerError;
import org.laurelweir.direct.DirectEffect.AnswerHead;
import org.laurelweir.lib.ResultCode;

/** Tests what callers get for a 408, 429 or 503 of a backend server without the not-run header. */
class AnswerStatusTest {
    private static final Route NON_IDEMPOTENT = route(false, false, false);
    private static final Route IDEMPOTENT = route(true, false, false);
    private static final Route STREAM = route(false, true, false);
    private static final Route RESUMABLE = route(false, true, true);

    private final DirectRoutingDriver mDriver = new DirectRoutingDriver(3);

    private void answerWhole(int status) {
        long call = mDriver.lastCall().call();
        mDriver.answer(call, status, GENUINE);
        byte[] body = "overloaded".getBytes(StandardCharsets.UTF_8);
        mDriver.step(new DirectEvent.DataReceived(call, body));
        mDriver.step(new DirectEvent.Finished(call));
    }

    private void assertBackendFailed() {
        assertThat(mDriver.all(AnswerError.class)).hasSize(1);
        AnswerError error = mDriver.last(AnswerError.class);
        assertThat(error.code()).isEqualTo(ResultCode.BACKEND_FAILED);
        assertThat(error.retryAfter()).isZero();
        assertThat(mDriver.all(AnswerComplete.class)).isEmpty();
        assertThat(mDriver.all(AnswerHead.class)).isEmpty();
        assertThat(mDriver.isIdle()).isTrue();
    }

    // Guards against a caller that repeats a payment which ran, since its server answered 503.
    @ParameterizedTest
    @ValueSource(ints = {408, 421, 429, 503})
    void unprovenStatusOfANonIdempotentRequestIsReplaced(int status) {
        mDriver.arrive(1, NON_IDEMPOTENT);
        answerWhole(status);
        assertThat(mDriver.callCount()).isEqualTo(1);
        assertBackendFailed();
    }

    // Guards against the same of a stream that can't be resumed, before its first event.
    @ParameterizedTest
    @ValueSource(ints = {408, 429, 503})
    void unprovenStatusOfAStreamIsReplaced(int status) {
        mDriver.arrive(1, STREAM);
        answerWhole(status);
        assertThat(mDriver.callCount()).isEqualTo(1);
        assertBackendFailed();
    }

    // Guards against forwarding a 429 or 408 although another server would serve the request.
    @ParameterizedTest
    @ValueSource(ints = {408, 429, 503})
    void repeatableRequestGoesToAnotherServer(int status) {
        mDriver.arrive(1, IDEMPOTENT);
        String first = mDriver.lastCall().backend().id();
        mDriver.answer(mDriver.lastCall().call(), status, GENUINE);
        assertThat(mDriver.lastCall().backend().id()).isNotEqualTo(first);
        answerWhole(200);
        assertThat(mDriver.last(AnswerComplete.class).status()).isEqualTo(200);
        assertThat(mDriver.all(AnswerError.class)).isEmpty();
    }

    // Guards against the status of the last of several servers, all of which may have run it.
    @ParameterizedTest
    @ValueSource(ints = {408, 429, 503})
    void unprovenStatusOfTheLastServerIsReplaced(int status) {
        mDriver.arrive(1, IDEMPOTENT);
        mDriver.answer(mDriver.lastCall().call(), status, GENUINE);
        mDriver.answer(mDriver.lastCall().call(), status, GENUINE);
        answerWhole(status);
        assertThat(mDriver.callCount()).isEqualTo(3);
        assertBackendFailed();
    }

    // Guards against "not run" from later servers hiding that the first may have run the request.
    @Test
    void notRunAfterAnUnprovenStatusIsNotForwarded() {
        mDriver.arrive(1, RESUMABLE);
        mDriver.answer(mDriver.lastCall().call(), 429, GENUINE);
        mDriver.answer(mDriver.lastCall().call(), 503, NOT_RUN);
        mDriver.answer(mDriver.lastCall().call(), 503, NOT_RUN);
        assertBackendFailed();
    }

    // Guards against replacing statuses that promise nothing, which callers need as they are.
    @ParameterizedTest
    @ValueSource(ints = {200, 400, 404, 409, 422, 500, 502, 504})
    void otherStatusesAreForwarded(int status) {
        mDriver.arrive(1, NON_IDEMPOTENT);
        answerWhole(status);
        assertThat(mDriver.last(AnswerComplete.class).status()).isEqualTo(status);
        assertThat(mDriver.all(AnswerError.class)).isEmpty();
    }
}
