package org.laurelweir.direct;

import static org.assertj.core.api.Assertions.assertThat;
import static org.laurelweir.direct.DirectRoutingDriver.GENUINE;
import static org.laurelweir.direct.DirectRoutingDriver.SERVICE;
import static org.laurelweir.direct.DirectRoutingDriver.route;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Optional;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.laurelweir.direct.DirectEffect.AnswerData;
import org.laurelweir.direct.DirectEffect.AnswerError;
import org.laurelweir.direct.DirectEffect.FindStream;
import org.laurelweir.direct.DirectEffect.RecordStream;
import org.laurelweir.direct.DirectEvent.Failure;
import org.laurelweir.lib.BackendRef;
import org.laurelweir.lib.ResultCode;
import org.laurelweir.resumption.BackendRun;
import org.laurelweir.resumption.OriginAnswer;
import org.laurelweir.resumption.StreamOrigin;

/** Tests streams at servers that may start anew, with another version, under their names. */
class ReturningServerTest {
    private static final Route RESUMABLE = route(false, true, true);
    private static final Resumption AFTER_FIRST = new Resumption("id1", "1");
    private static final String FIRST_EVENT = "id: 1\ndata: a\n\n";
    private static final String SECOND_EVENT = "id: 2\ndata: b\n\n";
    private static final BackendRun LATER_RUN = new BackendRun(new BackendRef("a", 2), "v2");
    private static final Duration LONG = Duration.ofMillis(410);

    private final DirectRoutingDriver mDriver = new DirectRoutingDriver(0);

    @BeforeEach
    void addServers() {
        mDriver.joinVersion("a", "v1");
        mDriver.restart("a", "v1");
    }

    private void answerCall() {
        mDriver.answer(mDriver.lastCall().call(), 200, GENUINE);
    }

    private void begin() {
        mDriver.arrive(1, RESUMABLE);
        answerCall();
        receive(FIRST_EVENT);
    }

    private void goOn() {
        mDriver.resume(2, RESUMABLE, AFTER_FIRST);
        long lookup = mDriver.last(FindStream.class).lookup();
        Optional<StreamOrigin> origin = Optional.of(new StreamOrigin(SERVICE, "v1"));
        OriginAnswer answer = new OriginAnswer(origin, Optional.empty(), 3, 3);
        mDriver.step(new DirectEvent.StreamFound(lookup, answer));
        answerCall();
        receive(SECOND_EVENT);
    }

    private void receive(String text) {
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        mDriver.step(new DirectEvent.DataReceived(mDriver.lastCall().call(), bytes));
    }

    private void confirm(Optional<BackendRun> laterRun) {
        RecordStream record = mDriver.last(RecordStream.class);
        mDriver.step(new DirectEvent.StreamRecorded(record.record(), laterRun.isEmpty(), laterRun));
    }

    private void breakOff() {
        long call = mDriver.lastCall().call();
        mDriver.step(new DirectEvent.Failed(call, Failure.CONNECTION_LOST, "lost"));
    }

    private String forwarded() {
        StringBuilder all = new StringBuilder();
        for (AnswerData d : mDriver.all(AnswerData.class)) {
            all.append(new String(d.bytes(), StandardCharsets.UTF_8));
        }
        return all.toString();
    }

    private void assertCut() {
        assertThat(forwarded()).doesNotContain(SECOND_EVENT);
        assertThat(mDriver.last(AnswerError.class).code()).isEqualTo(ResultCode.ANSWER_CUT);
        assertThat(mDriver.isIdle()).isTrue();
    }

    // Guards against a record of the version that the server had before it started anew.
    @Test
    void newStreamIsRecordedUnderTheVersionThatControlKnows() {
        begin();
        confirm(Optional.of(LATER_RUN));
        assertThat(forwarded()).isEmpty();
        RecordStream again = mDriver.last(RecordStream.class);
        assertThat(again.origin().version()).isEqualTo("v2");
        assertThat(again.server()).isEqualTo(LATER_RUN.ref());
        confirm(Optional.empty());
        assertThat(forwarded()).isEqualTo(FIRST_EVENT);
    }

    // Guards against a stream that goes on at the later run of the server.
    @Test
    void streamDoesNotGoOnAtALaterRunOfAnotherVersion() {
        goOn();
        confirm(Optional.of(LATER_RUN));
        assertCut();
    }

    @Test
    void streamGoesOnAtALaterRunOfItsVersion() {
        goOn();
        confirm(Optional.of(new BackendRun(LATER_RUN.ref(), "v1")));
        confirm(Optional.empty());
        assertThat(forwarded()).isEqualTo(SECOND_EVENT);
    }

    @Test
    void streamGoesOnOnceItsServerIsConfirmed() {
        goOn();
        mDriver.advance(Duration.ofMillis(300));
        assertThat(forwarded()).isEmpty();
        confirm(Optional.empty());
        assertThat(forwarded()).isEqualTo(SECOND_EVENT);
    }

    // Guards against a router that is cut off from control and does not hear of the later run.
    @Test
    void streamDoesNotGoOnAtAServerThatNobodyConfirms() {
        goOn();
        mDriver.advance(LONG);
        assertCut();
    }

    // Guards against the same where the answer ends before the wait is over.
    @Test
    void unconfirmedAnswerThatEndsIsCut() {
        goOn();
        mDriver.step(new DirectEvent.Finished(mDriver.lastCall().call()));
        assertCut();
    }

    // Guards against a request that ends servers and is never quarantined, since the ends under its
    // unconfirmed answers do not count.
    @Test
    void crashWithinAnUnconfirmedAnswerCounts() {
        goOn();
        breakOff();
        assertCut();
        assertThat(mDriver.mCrashes.isEmpty()).isFalse();
    }

    // Guards against a router that is cut off and goes on at the version that it believes in.
    @Test
    void newStreamThatNobodyConfirmsDoesNotGoOn() {
        mDriver.joinVersion("b", "v1");
        mDriver.restart("b", "v1");
        begin();
        mDriver.advance(Duration.ofMillis(70));
        assertThat(forwarded()).isEqualTo(FIRST_EVENT);
        breakOff();
        assertThat(mDriver.callCount()).isEqualTo(1);
        assertThat(mDriver.last(AnswerError.class).code()).isEqualTo(ResultCode.ANSWER_CUT);
    }

    @Test
    void newStreamThatIsConfirmedLateGoesOn() {
        mDriver.joinVersion("b", "v1");
        mDriver.restart("b", "v1");
        begin();
        mDriver.advance(Duration.ofMillis(70));
        confirm(Optional.empty());
        int calls = mDriver.callCount();
        breakOff();
        assertThat(mDriver.callCount()).isEqualTo(calls + 1);
    }

    // Guards against a record that is known to be wrong and still passes for right.
    @Test
    void recordIsMadeVoidOnceTheLaterRunIsKnown() {
        begin();
        confirm(Optional.empty());
        mDriver.restart("a", "v2");
        mDriver.advance(Duration.ofMillis(10));
        RecordStream last = mDriver.last(RecordStream.class);
        assertThat(last.isVoid()).isTrue();
        assertThat(last.origin().version()).isEqualTo("v2");
        mDriver.resume(2, RESUMABLE, AFTER_FIRST);
        assertThat(mDriver.all(FindStream.class)).hasSize(1);
    }

    // Guards against a stream that goes on at the later run although the router knows of it.
    @Test
    void streamIsCutOnceTheLaterRunIsKnown() {
        goOn();
        mDriver.restart("a", "v2");
        mDriver.advance(Duration.ofMillis(10));
        assertCut();
    }

    @Test
    void lateResultOfAnEndedRequestChangesNothing() {
        begin();
        mDriver.step(new DirectEvent.Finished(mDriver.lastCall().call()));
        int effects = mDriver.mEffects.size();
        confirm(Optional.of(LATER_RUN));
        assertThat(mDriver.mEffects).hasSize(effects);
    }
}
