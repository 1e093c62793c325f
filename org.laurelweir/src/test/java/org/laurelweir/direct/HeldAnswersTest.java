package org.laurelweir.direct;

import static org.assertj.core.api.Assertions.assertThat;
import static org.laurelweir.direct.DirectRoutingDriver.GENUINE;
import static org.laurelweir.direct.DirectRoutingDriver.route;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import org.junit.jupiter.api.Test;
import org.laurelweir.direct.DirectEffect.AnswerError;
import org.laurelweir.direct.DirectEffect.BeginCall;
import org.laurelweir.direct.DirectEffect.PauseCall;
import org.laurelweir.direct.DirectEvent.Failure;
import org.laurelweir.lib.ResultCode;

/**
 * Tests what a router holds of answers, of callers that read slowly and servers that send slowly.
 */
class HeldAnswersTest {
    private static final Route NON_IDEMPOTENT = route(false, false, false);
    private static final Route IDEMPOTENT = route(true, false, false);
    private static final Route STREAM = route(false, true, false);
    private static final Route RESUMABLE = route(false, true, true);
    private static final String EVENT = "id: 1\ndata: a\n\n";

    private final DirectRoutingDriver mDriver = new DirectRoutingDriver(4);

    private long begin(long caller, Route route) {
        mDriver.arrive(caller, route);
        long call = mDriver.lastCall().call();
        mDriver.answer(call, 200, GENUINE);
        return call;
    }

    private void receive(long call, byte[] bytes) {
        mDriver.step(new DirectEvent.DataReceived(call, bytes));
    }

    // Guards against answers that are within their own limit and fill the memory together.
    @Test
    void largestAnswerIsDroppedWhenAllTogetherExceedTheirLimit() {
        int whole = (int) AnswerLimits.DEFAULT.answerBytes();
        int count = (int) (AnswerLimits.DEFAULT.totalBytes() / whole) + 1;
        long largest = begin(1, NON_IDEMPOTENT);
        receive(largest, new byte[whole]);
        for (int caller = 2; caller <= count; caller++) {
            receive(begin(caller, NON_IDEMPOTENT), new byte[whole - 1]);
        }
        long call = begin(count + 1, NON_IDEMPOTENT);
        for (int i = 0; i < 2 && mDriver.all(AnswerError.class).isEmpty(); i++) {
            receive(call, new byte[whole / 2 - 1]);
        }
        assertThat(mDriver.all(AnswerError.class)).hasSize(1);
        assertThat(mDriver.last(AnswerError.class).caller()).isEqualTo(1);
        assertThat(mDriver.last(AnswerError.class).code()).isEqualTo(ResultCode.BACKEND_FAILED);
    }

    // Guards against a sum that grows with each answer, so that later ones are dropped for no
    // reason.
    @Test
    void answersThatEndedDoNotCount() {
        int whole = (int) AnswerLimits.DEFAULT.answerBytes();
        for (int caller = 1; caller <= 20; caller++) {
            long call = begin(caller, NON_IDEMPOTENT);
            receive(call, new byte[whole]);
            mDriver.step(
                    caller % 2 == 0
                            ? new DirectEvent.Finished(call)
                            : new DirectEvent.Failed(call, Failure.ABANDONED, "malformed"));
        }
        assertThat(mDriver.all(AnswerError.class)).hasSize(10);
        assertThat(mDriver.all(DirectEffect.AnswerComplete.class)).hasSize(10);
    }

    // Guards against an event without an end, which can't be forwarded.
    @Test
    void eventLargerThanItsLimitEndsTheStream() {
        long call = begin(1, STREAM);
        receive(call, "id: 1\ndata: ".getBytes(StandardCharsets.UTF_8));
        byte[] part = "x".repeat(64 << 10).getBytes(StandardCharsets.UTF_8);
        long sent = 0;
        while (mDriver.all(AnswerError.class).isEmpty()) {
            sent += part.length;
            assertThat(sent).isLessThanOrEqualTo(AnswerLimits.DEFAULT.eventBytes() + part.length);
            receive(call, part);
        }
        assertThat(mDriver.last(AnswerError.class).code()).isEqualTo(ResultCode.ANSWER_CUT);
    }

    // Guards against reading on for a caller that does not read, at the next server too.
    @Test
    void callsOfACallerThatDoesNotReadArePaused() {
        long first = begin(1, RESUMABLE);
        receive(first, EVENT.getBytes(StandardCharsets.UTF_8));
        mDriver.step(new DirectEvent.CallerBlocked(1, true));
        assertThat(mDriver.last(PauseCall.class)).isEqualTo(new PauseCall(first, true));
        mDriver.step(new DirectEvent.Failed(first, Failure.CONNECTION_LOST, "lost"));
        long next = mDriver.last(BeginCall.class).call();
        assertThat(next).isNotEqualTo(first);
        assertThat(mDriver.last(PauseCall.class)).isEqualTo(new PauseCall(next, true));
        mDriver.step(new DirectEvent.CallerBlocked(1, false));
        assertThat(mDriver.last(PauseCall.class)).isEqualTo(new PauseCall(next, false));
    }

    // Guards against blaming a server whose answer is not read, and against holding it for ever.
    @Test
    void callerThatDoesNotReadIsNoStallAndEndsAtItsDeadline() {
        long call = begin(1, RESUMABLE);
        receive(call, EVENT.getBytes(StandardCharsets.UTF_8));
        mDriver.step(new DirectEvent.CallerBlocked(1, true));
        mDriver.advance(Duration.ofMillis(900));
        assertThat(mDriver.callCount()).isEqualTo(1);
        mDriver.advance(Duration.ofMillis(100));
        assertThat(mDriver.last(AnswerError.class).code()).isEqualTo(ResultCode.DEADLINE_EXCEEDED);
        assertThat(mDriver.last(DirectEffect.CancelCall.class).call()).isEqualTo(call);
        assertThat(mDriver.isIdle()).isTrue();
    }

    // Guards against a server that sends a byte now and then and so keeps its request for ever.
    @Test
    void serverThatSendsSlowlyIsCutOffAtTheDeadline() {
        long call = begin(1, IDEMPOTENT);
        for (int i = 0; i < 9; i++) {
            mDriver.advance(Duration.ofMillis(100));
            receive(call, new byte[1]);
        }
        assertThat(mDriver.all(AnswerError.class)).isEmpty();
        mDriver.advance(Duration.ofMillis(100));
        assertThat(mDriver.last(AnswerError.class).code()).isEqualTo(ResultCode.DEADLINE_EXCEEDED);
        assertThat(mDriver.last(DirectEffect.CancelCall.class).call()).isEqualTo(call);
    }
}
