package org.laurelweir.direct;

import static org.assertj.core.api.Assertions.assertThat;
import static org.laurelweir.direct.DirectRoutingDriver.route;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.laurelweir.answer.BodyFraming;
import org.laurelweir.attempt.Header;
import org.laurelweir.direct.DirectEffect.AnswerData;
import org.laurelweir.direct.DirectEffect.AnswerEnd;
import org.laurelweir.direct.DirectEffect.AnswerError;
import org.laurelweir.lib.ResultCode;

/** Tests what becomes of streams that end by the rules of HTTP and are not complete. */
class BrokenOffStreamTest {
    private static final Route STREAM = route(false, true, false);
    private static final Route RESUMABLE = route(false, true, true);
    private static final String EVENTS = "text/event-stream";
    private static final String CUT = "id: 1\ndata: a\n\nid: 2\nda";

    private final DirectRoutingDriver mDriver = new DirectRoutingDriver(6);
    private long mLastCaller;

    private void answer(String type, BodyFraming framing, String body) {
        long call = mDriver.lastCall().call();
        AnswerMetadata metadata = new AnswerMetadata(false, false, true, framing, Optional.empty());
        List<Header> headers =
                type.isEmpty() ? List.of() : List.of(new Header("content-type", type));
        mDriver.step(new DirectEvent.HeadReceived(call, 200, headers, metadata));
        byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
        mDriver.step(new DirectEvent.DataReceived(call, bytes));
        mDriver.step(new DirectEvent.Finished(call));
    }

    private boolean isComplete(String type, BodyFraming framing, String body) {
        mDriver.mEffects.clear();
        mDriver.arrive(++mLastCaller, STREAM);
        answer(type, framing, body);
        assertThat(mDriver.isIdle()).isTrue();
        return !mDriver.all(AnswerEnd.class).isEmpty();
    }

    private String forwarded() {
        StringBuilder all = new StringBuilder();
        for (AnswerData d : mDriver.all(AnswerData.class)) {
            all.append(new String(d.bytes(), StandardCharsets.UTF_8));
        }
        return all.toString();
    }

    // Guards against a success that counts for a server which crashed within the stream.
    @Test
    void connectionThatEndsInsideAnEventCountsAsACrash() {
        assertThat(isComplete(EVENTS, BodyFraming.CONNECTION, CUT)).isFalse();
        assertThat(mDriver.last(AnswerError.class).code()).isEqualTo(ResultCode.ANSWER_CUT);
        assertThat(forwarded()).isEqualTo("id: 1\ndata: a\n\n");
        assertThat(mDriver.mCrashes.isEmpty()).isFalse();
    }

    // Guards against taking a live server for a crashed one because it leaves out a part.
    @Test
    void streamWhoseEndIsToldInsideAnEventIsNoCrash() {
        for (BodyFraming framing : List.of(BodyFraming.LENGTH, BodyFraming.CHUNKS)) {
            assertThat(isComplete(EVENTS, framing, CUT)).isFalse();
        }
        assertThat(mDriver.mCrashes.isEmpty()).isTrue();
    }

    // Guards against a stream without any event that counts as served after its server crashed.
    @Test
    void streamThatItsConnectionEndsBeforeTheFirstEventIsNotComplete() {
        for (String body : List.of("", "\n", ": ping\n\n")) {
            assertThat(isComplete(EVENTS, BodyFraming.CONNECTION, body)).as(body).isFalse();
            assertThat(isComplete(EVENTS, BodyFraming.CHUNKS, body)).as(body).isTrue();
        }
    }

    // Guards against cutting whole answers that are no streams of events.
    @Test
    void answerOfAnotherTypeIsForwardedWhole() {
        for (BodyFraming framing : BodyFraming.values()) {
            assertThat(isComplete("application/json", framing, "{\"a\":1}")).isTrue();
            assertThat(forwarded()).isEqualTo("{\"a\":1}");
        }
        assertThat(isComplete("", BodyFraming.LENGTH, "ok")).isTrue();
        assertThat(isComplete("", BodyFraming.CONNECTION, CUT)).isFalse();
    }

    // Guards against losing what a complete stream has after its last event.
    @Test
    void commentAfterTheLastEventIsForwarded() {
        String body = "id: 1\ndata: a\n\n: bye\n";
        for (BodyFraming framing : BodyFraming.values()) {
            assertThat(isComplete(EVENTS, framing, body)).isTrue();
            assertThat(forwarded()).isEqualTo(body);
        }
    }

    // Guards against a gap or a repeated event where a stream breaks off twice.
    @Test
    void streamThatBreaksOffAgainAfterItWasResumedIsResumedAfterWhatWasForwarded() {
        mDriver.arrive(1, RESUMABLE);
        answer(EVENTS, BodyFraming.CONNECTION, CUT);
        assertThat(mDriver.lastCall().resumeAfter()).isEqualTo("1");
        mDriver.step(new DirectEvent.Tick());
        answer(EVENTS, BodyFraming.CHUNKS, "id: 2\ndata: b\n\nid: 3");
        assertThat(mDriver.callCount()).isEqualTo(3);
        assertThat(mDriver.lastCall().resumeAfter()).isEqualTo("2");
        answer(EVENTS, BodyFraming.LENGTH, "id: 3\ndata: c\n\n");
        assertThat(forwarded()).isEqualTo("id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n");
        assertThat(mDriver.all(AnswerEnd.class)).hasSize(1);
    }

    // Guards against events that the caller gets twice: without ids, a resumed stream starts anew.
    @Test
    void streamWhoseLastForwardedEventHasNoIdIsNotResumed() {
        for (String events : List.of("data: a\n\n", "id: 1\ndata: a\n\ndata: b\n\n")) {
            mDriver.arrive(++mLastCaller, RESUMABLE);
            int calls = mDriver.callCount();
            answer(EVENTS, BodyFraming.CONNECTION, events + "da");
            assertThat(mDriver.callCount()).isEqualTo(calls);
            assertThat(mDriver.last(AnswerError.class).code()).isEqualTo(ResultCode.ANSWER_CUT);
        }
    }

    @Test
    void streamIsResumedBeforeItsFirstEventAndAfterOnesThatCarryNothing() {
        for (String events : List.of("", ": a\n\n", "id: 1\ndata: a\n\n: b\n\nretry: 9\n\n")) {
            mDriver.arrive(++mLastCaller, RESUMABLE);
            int calls = mDriver.callCount();
            answer(EVENTS, BodyFraming.CONNECTION, events + "da");
            assertThat(mDriver.callCount()).as(events).isEqualTo(calls + 1);
            answer(EVENTS, BodyFraming.LENGTH, "data: z\n\n");
        }
    }

    // Guards against joining the beginning of a stream with an answer of another kind.
    @Test
    void answerOfAnotherTypeIsNotJoinedToAStream() {
        mDriver.arrive(1, RESUMABLE);
        answer(EVENTS, BodyFraming.CONNECTION, CUT);
        answer("application/json", BodyFraming.LENGTH, "{\"a\": 1}\n\n");
        assertThat(forwarded()).isEqualTo("id: 1\ndata: a\n\n");
        assertThat(mDriver.all(AnswerEnd.class)).isEmpty();
        assertThat(mDriver.last(AnswerError.class).code()).isEqualTo(ResultCode.ANSWER_CUT);
        assertThat(mDriver.isIdle()).isTrue();
    }

    // Guards against a cut stream of events that counts as complete because its route is plain.
    @Test
    void streamOfEventsOnAPlainRouteIsBrokenOffInsideAnEvent() {
        for (BodyFraming framing : BodyFraming.values()) {
            mDriver.arrive(++mLastCaller, route(false, false, false));
            answer(EVENTS, framing, CUT);
            assertThat(mDriver.all(DirectEffect.AnswerComplete.class)).as("%s", framing).isEmpty();
            assertThat(mDriver.isIdle()).isTrue();
        }
    }

    @Test
    void streamOfACallerThatHasGoneIsNotResumed() {
        mDriver.arrive(1, RESUMABLE);
        long call = mDriver.lastCall().call();
        mDriver.step(new DirectEvent.CallerGone(1));
        mDriver.step(new DirectEvent.Finished(call));
        assertThat(mDriver.callCount()).isEqualTo(1);
        assertThat(mDriver.isIdle()).isTrue();
    }
}
