package org.laurelweir.direct;

import static org.assertj.core.api.Assertions.assertThat;
import static org.laurelweir.direct.DirectRoutingDriver.GENUINE;
import static org.laurelweir.direct.DirectRoutingDriver.SERVICE;
import static org.laurelweir.direct.DirectRoutingDriver.route;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.laurelweir.answer.ServerNotice;
import org.laurelweir.direct.DirectEffect.AnswerData;
import org.laurelweir.direct.DirectEffect.AnswerEnd;
import org.laurelweir.direct.DirectEffect.AnswerError;
import org.laurelweir.direct.DirectEffect.BeginCall;
import org.laurelweir.direct.DirectEffect.FindStream;
import org.laurelweir.direct.DirectEffect.LogDecision;
import org.laurelweir.direct.DirectEffect.RecordStream;
import org.laurelweir.direct.DirectEvent.Failure;
import org.laurelweir.lib.BackendRef;
import org.laurelweir.lib.ResultCode;
import org.laurelweir.resumption.OriginAnswer;
import org.laurelweir.resumption.StreamKey;
import org.laurelweir.resumption.StreamOrigin;

/** Tests where one router lets streams go on, and what it records of them. */
class ResumptionTest {
    private static final Route RESUMABLE = route(false, true, true);
    private static final Route ONE_ATTEMPT = route(false, true, true, 1);
    private static final Resumption AFTER_FIRST = new Resumption("id1", "1");
    private static final StreamOrigin V1 = new StreamOrigin(SERVICE, "v1");
    private static final String FIRST_EVENT = "id: 1\ndata: a\n\n";
    private static final OriginAnswer UNKNOWN =
            new OriginAnswer(Optional.empty(), Optional.empty(), 3, 3);

    private final DirectRoutingDriver mDriver = new DirectRoutingDriver(0);

    @BeforeEach
    void addServers() {
        for (int i = 0; i < 3; i++) {
            mDriver.joinVersion("a" + i, "v1");
            mDriver.joinVersion("b" + i, "v2");
        }
    }

    private void begin(long caller, Route route) {
        mDriver.arrive(caller, route);
        mDriver.answer(mDriver.lastCall().call(), 200, GENUINE);
    }

    private void receive(String text) {
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        mDriver.step(new DirectEvent.DataReceived(mDriver.lastCall().call(), bytes));
    }

    private void confirmRecord(boolean stored) {
        long record = mDriver.last(RecordStream.class).record();
        mDriver.step(new DirectEvent.StreamRecorded(record, stored, Optional.empty()));
    }

    private void fail() {
        long call = mDriver.lastCall().call();
        mDriver.step(new DirectEvent.Failed(call, Failure.CONNECTION_LOST, "lost"));
    }

    private void answerLookup(OriginAnswer answer) {
        long lookup = mDriver.last(FindStream.class).lookup();
        mDriver.step(new DirectEvent.StreamFound(lookup, answer));
    }

    private static OriginAnswer found(StreamOrigin origin) {
        return new OriginAnswer(Optional.of(origin), Optional.empty(), 3, 2);
    }

    private static OriginAnswer sole(String version) {
        return new OriginAnswer(Optional.empty(), Optional.of(version), 3, 3);
    }

    private String forwarded() {
        StringBuilder all = new StringBuilder();
        for (AnswerData d : mDriver.all(AnswerData.class)) {
            all.append(new String(d.bytes(), StandardCharsets.UTF_8));
        }
        return all.toString();
    }

    private String versionOf(String id) {
        return mDriver.backend(id).version();
    }

    private String lastCalledVersion() {
        return versionOf(mDriver.lastCall().backend().id());
    }

    private ResultCode lastError() {
        return mDriver.last(AnswerError.class).code();
    }

    // Guards against an event that a caller has while only a router which may be killed knows which
    // version wrote it.
    @Test
    void firstEventWaitsForTheRecord() {
        begin(1, RESUMABLE);
        receive(FIRST_EVENT);
        receive("id: 2\ndata: b\n\n");
        assertThat(forwarded()).isEmpty();
        RecordStream record = mDriver.last(RecordStream.class);
        assertThat(record.stream()).isEqualTo(StreamKey.of("acc", "id1"));
        assertThat(record.origin()).isEqualTo(new StreamOrigin(SERVICE, lastCalledVersion()));
        confirmRecord(true);
        assertThat(forwarded()).isEqualTo(FIRST_EVENT + "id: 2\ndata: b\n\n");
        receive("id: 3\ndata: c\n\n");
        assertThat(forwarded()).endsWith("id: 3\ndata: c\n\n");
        assertThat(mDriver.all(RecordStream.class)).hasSize(1);
    }

    // Guards against callers that wait for control while it is silent.
    @Test
    void eventsGoOutWithoutTheRecordAfterAShortWait() {
        begin(1, RESUMABLE);
        receive(FIRST_EVENT);
        mDriver.advance(Duration.ofMillis(50));
        assertThat(forwarded()).isEmpty();
        mDriver.advance(Duration.ofMillis(50));
        assertThat(forwarded()).isEqualTo(FIRST_EVENT);
        assertThat(mDriver.last(LogDecision.class).decision().reason())
                .isEqualTo("stream_origin_unrecorded: not confirmed in time");
        confirmRecord(true);
        assertThat(forwarded()).isEqualTo(FIRST_EVENT);
    }

    @Test
    void eventsGoOutAtOnceIfNoControlInstanceTakesTheRecord() {
        begin(1, RESUMABLE);
        receive(FIRST_EVENT);
        confirmRecord(false);
        assertThat(forwarded()).isEqualTo(FIRST_EVENT);
    }

    // Guards against a stream that ends while its events wait, and lacks them.
    @Test
    void streamThatEndsWhileItsEventsWaitIsWhole() {
        begin(1, RESUMABLE);
        receive(FIRST_EVENT);
        mDriver.step(new DirectEvent.Finished(mDriver.lastCall().call()));
        assertThat(forwarded()).isEqualTo(FIRST_EVENT);
        assertThat(mDriver.all(AnswerEnd.class)).hasSize(1);
    }

    // Guards against events that are sent after their caller has gone.
    @Test
    void waitingEventsAreDroppedWithTheirCaller() {
        begin(1, RESUMABLE);
        receive(FIRST_EVENT);
        mDriver.step(new DirectEvent.CallerGone(1));
        confirmRecord(true);
        assertThat(forwarded()).isEmpty();
        assertThat(mDriver.isIdle()).isTrue();
    }

    @Test
    void streamsThatCannotBeResumedAreNotRecorded() {
        begin(1, route(false, true, false));
        receive(FIRST_EVENT);
        assertThat(forwarded()).isEqualTo(FIRST_EVENT);
        begin(2, RESUMABLE);
        receive("data: without an id\n\n");
        assertThat(forwarded()).endsWith("data: without an id\n\n");
        assertThat(mDriver.all(RecordStream.class)).isEmpty();
    }

    // Guards against a router that joins what servers of two versions wrote.
    @Test
    void routerGoesOnAtTheSameVersionOnly() {
        for (long caller = 1; caller <= 20; caller++) {
            begin(caller, RESUMABLE);
            receive(FIRST_EVENT);
            confirmRecord(true);
            String version = lastCalledVersion();
            fail();
            assertThat(lastCalledVersion()).isEqualTo(version);
            assertThat(mDriver.lastCall().resumeAfter()).isEqualTo("1");
            mDriver.step(new DirectEvent.CallerGone(caller));
            mDriver.advance(Duration.ofSeconds(10));
        }
    }

    // Guards against a refusal where going on was safe: nothing of the first server has gone out.
    @Test
    void streamWithoutAnEventGoesOnAtAnyVersion() {
        mDriver.leave("b0");
        mDriver.leave("b1");
        mDriver.leave("b2");
        begin(1, RESUMABLE);
        String first = mDriver.lastCall().backend().id();
        mDriver.leave("a0");
        mDriver.leave("a1");
        mDriver.leave("a2");
        mDriver.joinVersion("c", "v3");
        fail();
        assertThat(mDriver.lastCall().backend().id()).isEqualTo("c").isNotEqualTo(first);
        mDriver.answer(mDriver.lastCall().call(), 200, GENUINE);
        receive(FIRST_EVENT);
        assertThat(mDriver.last(RecordStream.class).origin().version()).isEqualTo("v3");
    }

    // Guards against a stream that is cut although servers of its version serve: the failures that
    // broke streams off also ejected all of them.
    @Test
    void streamGoesOnAtAnEjectedServerIfItsVersionHasNoOther() {
        mDriver.leave("a1");
        mDriver.leave("a2");
        mDriver.leave("b1");
        mDriver.leave("b2");
        for (long caller = 1; caller <= 8; caller++) {
            begin(caller, ONE_ATTEMPT);
            fail();
        }
        mDriver.mEffects.clear();
        mDriver.resume(20, ONE_ATTEMPT, new Resumption("other", "1"));
        answerLookup(found(V1));
        assertThat(mDriver.lastCall().backend().id()).isEqualTo("a0");
    }

    @Test
    void callerGoesOnAtTheVersionThatThisRouterRecorded() {
        begin(1, ONE_ATTEMPT);
        receive(FIRST_EVENT);
        confirmRecord(true);
        String version = lastCalledVersion();
        fail();
        for (long caller = 2; caller <= 12; caller++) {
            mDriver.resume(caller, ONE_ATTEMPT, AFTER_FIRST);
            assertThat(lastCalledVersion()).isEqualTo(version);
            mDriver.step(new DirectEvent.CallerGone(caller));
        }
        assertThat(mDriver.all(FindStream.class)).isEmpty();
    }

    // Guards against a caller that goes on at another router, which never saw the stream.
    @Test
    void callerGoesOnAtTheVersionThatControlKnows() {
        for (long caller = 2; caller <= 12; caller++) {
            mDriver.mEffects.clear();
            mDriver.resume(caller, ONE_ATTEMPT, new Resumption("elsewhere" + caller, "4"));
            assertThat(mDriver.all(BeginCall.class)).isEmpty();
            answerLookup(found(V1));
            assertThat(lastCalledVersion()).isEqualTo("v1");
            mDriver.step(new DirectEvent.CallerGone(caller));
        }
    }

    // Guards against a guess.
    @Test
    void unknownStreamIsRefusedAtOnce() {
        mDriver.resume(2, RESUMABLE, AFTER_FIRST);
        answerLookup(UNKNOWN);
        assertThat(lastError()).isEqualTo(ResultCode.STREAM_UNKNOWN);
        assertThat(lastError().isNotRun()).isTrue();
        assertThat(mDriver.callCount()).isZero();
        assertThat(mDriver.isIdle()).isTrue();
    }

    // Guards against a request that passes for one which may have run, although it was never sent.
    @Test
    void lookupWithoutAnAnswerEndsAsNotRun() {
        mDriver.resume(2, RESUMABLE, AFTER_FIRST);
        mDriver.advance(Duration.ofSeconds(1));
        assertThat(lastError()).isEqualTo(ResultCode.STREAM_UNKNOWN);
        assertThat(mDriver.isIdle()).isTrue();
    }

    // Guards against a record of one caller without ids that passes for that of another one.
    @Test
    void streamWithoutANameIsNeverTakenForARecordedOne() {
        mDriver.resume(2, RESUMABLE, new Resumption("", "1"));
        answerLookup(found(V1));
        assertThat(lastError()).isEqualTo(ResultCode.STREAM_UNKNOWN);
    }

    // Guards against refusing callers that name nothing while there is only one version.
    @Test
    void streamGoesOnAtTheOnlyVersionOnceTheRouteHasBeenStable() {
        mDriver.leave("b0");
        mDriver.leave("b1");
        mDriver.leave("b2");
        mDriver.resume(2, RESUMABLE, new Resumption("", "1"));
        answerLookup(sole("v1"));
        assertThat(lastError()).isEqualTo(ResultCode.STREAM_UNKNOWN);
        mDriver.advance(Duration.ofSeconds(31));
        mDriver.resume(3, RESUMABLE, new Resumption("", "1"));
        answerLookup(sole("v1"));
        assertThat(lastCalledVersion()).isEqualTo("v1");
    }

    // Guards against a caller that tries in vain until its deadline.
    @Test
    void streamWhoseVersionIsGoneIsRefusedAtOnce() {
        mDriver.resume(2, RESUMABLE, AFTER_FIRST);
        answerLookup(found(new StreamOrigin(SERVICE, "v0")));
        assertThat(lastError()).isEqualTo(ResultCode.STREAM_VERSION_GONE);
        assertThat(mDriver.callCount()).isZero();
    }

    @Test
    void streamWhoseServersAreFullIsRefusedAsOverloaded() {
        for (int i = 0; i < 3; i++) {
            mDriver.step(new DirectEvent.Tick());
        }
        for (long caller = 100; caller < 200; caller++) {
            mDriver.arrive(caller, route(false, false, false, 1));
        }
        mDriver.resume(2, RESUMABLE, AFTER_FIRST);
        answerLookup(found(V1));
        assertThat(lastError()).isEqualTo(ResultCode.OVERLOADED);
    }

    // Guards against a stream that a route split between services sends to the other service.
    @Test
    void streamIsNotSentToAServiceThatDidNotBeginIt() {
        mDriver.resume(2, RESUMABLE, AFTER_FIRST);
        answerLookup(found(new StreamOrigin("other", "v1")));
        assertThat(lastError()).isEqualTo(ResultCode.STREAM_UNKNOWN);
        assertThat(mDriver.callCount()).isZero();
    }

    @Test
    void streamOfARouteThatForbidsItIsNotResumed() {
        mDriver.resume(2, route(false, true, false), AFTER_FIRST);
        assertThat(lastError()).isEqualTo(ResultCode.STREAM_UNKNOWN);
        assertThat(mDriver.all(FindStream.class)).isEmpty();
    }

    // Guards against a request that is sent after its caller has gone.
    @Test
    void lookupEndsWithItsCaller() {
        mDriver.resume(2, RESUMABLE, AFTER_FIRST);
        mDriver.step(new DirectEvent.CallerGone(2));
        answerLookup(found(V1));
        assertThat(mDriver.callCount()).isZero();
        assertThat(mDriver.isIdle()).isTrue();
    }

    @Test
    void resumedStreamIsNotRecordedAgain() {
        mDriver.resume(2, RESUMABLE, AFTER_FIRST);
        answerLookup(found(V1));
        mDriver.answer(mDriver.lastCall().call(), 200, GENUINE);
        receive("id: 2\ndata: b\n\n");
        assertThat(forwarded()).isEqualTo("id: 2\ndata: b\n\n");
        assertThat(mDriver.all(RecordStream.class)).isEmpty();
    }

    @Test
    void decisionsTellWhatIsKnownOfTheStream() {
        mDriver.resume(2, RESUMABLE, AFTER_FIRST);
        answerLookup(found(V1));
        List<String> reasons =
                mDriver.all(LogDecision.class).stream().map(d -> d.decision().reason()).toList();
        assertThat(reasons)
                .startsWith(
                        "resumes after event 1",
                        "stream_origin recorded, 2 of 3 control instances answered");
        assertThat(mDriver.all(LogDecision.class).get(1).decision().version()).isEqualTo("v1");
    }

    /**
     * Guards against a stream that goes on at a server in backoff since no other has its version.
     */
    @Test
    void streamWhoseServersAreInBackoffIsRefused() {
        for (int i = 0; i < 3; i++) {
            BackendRef server = new BackendRef("a" + i, 0);
            mDriver.step(
                    new DirectEvent.ServerNoticed(
                            server, new ServerNotice(Duration.ofSeconds(3), false)));
        }
        mDriver.resume(2, RESUMABLE, AFTER_FIRST);
        answerLookup(found(V1));
        assertThat(mDriver.callCount()).isZero();
        assertThat(lastError()).isEqualTo(ResultCode.OVERLOADED);
        assertThat(mDriver.last(AnswerError.class).retryAfter())
                .isGreaterThanOrEqualTo(Duration.ofSeconds(3));
    }

    /** Guards against a stream that is refused although nothing of any version was forwarded. */
    @Test
    void streamWithoutAnEventGoesToAnyVersion() {
        begin(1, RESUMABLE);
        String first = lastCalledVersion();
        receive(": no event yet\n\n");
        for (int i = 0; i < 3; i++) {
            mDriver.leave((first.equals("v1") ? "a" : "b") + i);
        }
        fail();
        assertThat(mDriver.callCount()).isEqualTo(2);
        assertThat(lastCalledVersion()).isNotEqualTo(first);
        mDriver.answer(mDriver.lastCall().call(), 200, GENUINE);
        receive(FIRST_EVENT);
        assertThat(mDriver.last(RecordStream.class).origin())
                .isEqualTo(new StreamOrigin(SERVICE, lastCalledVersion()));
    }
}
