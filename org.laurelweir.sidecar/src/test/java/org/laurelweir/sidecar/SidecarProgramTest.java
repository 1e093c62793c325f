package org.laurelweir.sidecar;

import static org.assertj.core.api.Assertions.assertThat;

import io.grpc.stub.StreamObserver;
import java.io.IOException;
import java.nio.file.Path;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.laurelweir.attempt.Frame;
import org.laurelweir.lib.ResultCode;
import org.laurelweir.wire.IdCodec;
import org.laurelweir.wire.v1.AttemptMessage;
import org.laurelweir.wire.v1.AttemptState;
import org.laurelweir.wire.v1.Cancel;
import org.laurelweir.wire.v1.Decision;
import org.laurelweir.wire.v1.ExplainRequest;
import org.laurelweir.wire.v1.OrderRequest;
import org.laurelweir.wire.v1.RevokeRequest;

/** A sidecar beside a stand-in engine, while no control instance can be reached. */
@Timeout(120)
class SidecarProgramTest {
    private static final String DONE = "data: [DONE]\n\n";

    @TempDir Path mFolder;

    private final AttemptReader mReader = new AttemptReader();
    private SidecarFixture mFixture;

    @BeforeEach
    void start() throws IOException {
        mFixture = new SidecarFixture(mFolder);
    }

    @AfterEach
    void stop() {
        mFixture.close();
    }

    @Test
    void streamedAnswerArrivesWhole() throws InterruptedException {
        mFixture.open(mReader, mFixture.begin(1, true, 16));

        assertThat(mReader.await(Frame.Head.class).status()).isEqualTo(200);
        Frame.End end = mReader.await(Frame.End.class);
        assertThat(mReader.body()).startsWith("data: ").endsWith(DONE);
        assertThat(end.length()).isEqualTo(mReader.body().length());
    }

    @Test
    void plainAnswerReportsUsage() throws InterruptedException {
        mFixture.open(mReader, mFixture.begin(1, false, 16));

        Frame.End end = mReader.await(Frame.End.class);
        assertThat(end.usage().completionTokens()).isEqualTo(16);
    }

    // The connection under a stream goes silent after the first bytes. The router opens another
    // stream and asks for the output from the offset that it has; it gets the rest, and the old
    // stream ends. The attempt itself is not run again.
    @Test
    void resumedStreamGetsTheRest() throws InterruptedException {
        mFixture.open(mReader, mFixture.begin(1, true, 64));
        mReader.await(Frame.Data.class);
        int offset = mReader.body().length();

        AttemptReader second = new AttemptReader();
        mFixture.open(second, mFixture.resume(1, offset));
        Frame.End end = second.await(Frame.End.class);
        assertThat(offset + second.body().length()).isEqualTo((int) end.length());
        assertThat(second.body()).endsWith(DONE);
    }

    // A router revokes an attempt that the sidecar has not seen, is told that it never started,
    // and tells its caller "not run". The message that begins the attempt arrives after that: were
    // it run now, the caller would have been told a lie.
    @Test
    void revokedAttemptIsRefusedWhenItArrivesLate() throws InterruptedException {
        RevokeRequest revoke =
                RevokeRequest.newBuilder()
                        .setAttempt(IdCodec.toWire(SidecarFixture.id(7)))
                        .setTarget(IdCodec.toWire(mFixture.sidecar().self()))
                        .build();
        AttemptState state = mFixture.calls().revoke(revoke).getState();
        assertThat(state).isEqualTo(AttemptState.NEVER_STARTED);

        mFixture.open(mReader, mFixture.begin(7, false, 16));
        assertThat(mReader.await(Frame.Refused.class).code()).isEqualTo(ResultCode.REVOKED);
    }

    @Test
    void cancelledAttemptEnds() throws InterruptedException {
        StreamObserver<AttemptMessage> stream =
                mFixture.open(mReader, mFixture.begin(1, true, 100_000));
        mReader.await(Frame.Data.class);
        stream.onNext(AttemptMessage.newBuilder().setCancel(Cancel.newBuilder()).build());
        assertThat(mReader.await(Frame.Failed.class).code()).isEqualTo(ResultCode.CANCELLED);
    }

    // The engine is gone. The call can't even be connected, so that it is certain not to have run:
    // the router is told so, and may try another backend server.
    @Test
    void attemptIsRefusedWhereTheEngineIsGone() throws InterruptedException {
        mFixture.stopEngine();
        mFixture.open(mReader, mFixture.begin(1, true, 16));
        assertThat(mReader.await(Frame.Refused.class).code()).isEqualTo(ResultCode.BACKEND_REFUSED);
    }

    // The engine's connection breaks after ten tokens. What came so far went on to the router; it
    // must hear that this is not the whole answer.
    @Test
    void cutStreamIsNotCalledWhole() throws IOException, InterruptedException {
        mFixture.fault("{\"kind\": \"cut\", \"after\": 10}");
        mFixture.open(mReader, mFixture.begin(1, true, 64));
        assertThat(mReader.await(Frame.Failed.class).code()).isEqualTo(ResultCode.ANSWER_CUT);
        assertThat(mReader.body()).startsWith("data: ");
    }

    // The same with an answer that has a length: half of its bytes come, then the connection ends.
    @Test
    void answerShorterThanItsLengthIsNotCalledWhole() throws IOException, InterruptedException {
        mFixture.fault("{\"kind\": \"cut\", \"after\": 10}");
        mFixture.open(mReader, mFixture.begin(1, false, 64));
        assertThat(mReader.await(Frame.Failed.class).code()).isEqualTo(ResultCode.ANSWER_CUT);
    }

    // The engine refuses with a status that is documented to come before execution. For a call
    // that may run twice this is "not run"; an order's status is passed on as the answer instead,
    // for a wrong document would have it run twice.
    @Test
    void documentedRefusalIsNotRunForIdempotentCallsOnly()
            throws IOException, InterruptedException {
        mFixture.fault("{\"kind\": \"refuse\", \"count\": 2}");
        mFixture.open(mReader, mFixture.begin(1, false, 16));
        assertThat(mReader.await(Frame.Refused.class).code()).isEqualTo(ResultCode.BACKEND_REFUSED);

        AttemptReader order = new AttemptReader();
        mFixture.open(order, mFixture.begin(2, false, 16, false));
        assertThat(order.await(Frame.Head.class).status()).isEqualTo(503);
        order.await(Frame.End.class);
    }

    // SIGTERM comes in the middle of an answer. The sidecar takes nothing new, and exits only after
    // the answer went out whole.
    @Test
    void stopCutsNoAnswer() throws InterruptedException {
        mFixture.open(mReader, mFixture.begin(1, true, 64));
        mReader.await(Frame.Data.class);
        Thread stop = new Thread(mFixture.sidecar()::stop);
        stop.start();

        assertThat(mReader.await(Frame.End.class).length()).isEqualTo(mReader.body().length());
        assertThat(mReader.body()).endsWith(DONE);
        stop.join();
    }

    // A request needs more time than its caller has, by what the ones before took. Begun, it would
    // keep the engine from others and be given up in the end: it is refused at once, as not run.
    @Test
    void hopelessRequestIsRefusedAtOnce() throws InterruptedException {
        mFixture.open(mReader, mFixture.begin(1, false, 16));
        mReader.await(Frame.End.class);
        AttemptReader hopeless = new AttemptReader();
        mFixture.open(hopeless, mFixture.beginHopeless(2));
        assertThat(hopeless.await(Frame.Refused.class).code())
                .isEqualTo(ResultCode.DEADLINE_UNREACHABLE);
    }

    @Test
    void decisionIsExplainedByItsRequestsName() throws InterruptedException {
        mFixture.open(mReader, mFixture.begin(1, false, 16));
        mReader.await(Frame.End.class);
        ExplainRequest request =
                ExplainRequest.newBuilder().setSubject(SidecarFixture.id(1).requestName()).build();
        Decision decision = mFixture.calls().explain(request).getDecisions(0);
        assertThat(decision.getChoice()).isEqualTo("engine-1");
        assertThat(decision.getReason()).isEqualTo("within_bound");
    }

    // The sidecar was just started and control can't be reached, so that it can't know which orders
    // went before: none passes.
    @Test
    void orderIsRefusedBeforeControlWasHeard() {
        OrderRequest order =
                OrderRequest.newBuilder().setKind("load_model").setArgument("big").build();
        int code = mFixture.calls().order(order).getCode();
        assertThat(ResultCode.of(code)).isEqualTo(ResultCode.POSSIBLY_STALE);
    }
}
