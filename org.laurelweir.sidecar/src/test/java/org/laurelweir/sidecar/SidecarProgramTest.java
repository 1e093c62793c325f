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

/** Tests a sidecar beside a stand-in engine while no control instance can be reached. */
@Timeout(120)
class SidecarProgramTest {
    private static final String DONE_EVENT = "data: [DONE]\n\n";

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
    void streamedAnswerArrivesCompletely() throws InterruptedException {
        mFixture.open(mReader, mFixture.begin(1, true, 16));

        assertThat(mReader.await(Frame.Head.class).status()).isEqualTo(200);
        Frame.End end = mReader.await(Frame.End.class);
        assertThat(mReader.body()).startsWith("data: ").endsWith(DONE_EVENT);
        assertThat(end.length()).isEqualTo(mReader.body().length());
    }

    @Test
    void plainAnswerReportsUsage() throws InterruptedException {
        mFixture.open(mReader, mFixture.begin(1, false, 16));

        Frame.End end = mReader.await(Frame.End.class);
        assertThat(end.usage().completionTokens()).isEqualTo(16);
    }

    // Guards against running an attempt twice after its connection stalls. The stream goes silent
    // after the first bytes. The router opens another stream and resumes from the offset that it
    // has. It receives the remaining output, and the old stream ends.
    @Test
    void resumedStreamReceivesRemainingOutput() throws InterruptedException {
        mFixture.open(mReader, mFixture.begin(1, true, 64));
        mReader.await(Frame.Data.class);
        int offset = mReader.body().length();

        AttemptReader second = new AttemptReader();
        mFixture.open(second, mFixture.resume(1, offset));
        Frame.End end = second.await(Frame.End.class);
        assertThat(offset + second.body().length()).isEqualTo((int) end.length());
        assertThat(second.body()).endsWith(DONE_EVENT);
    }

    // Guards against running a request that was reported as not run. A router revokes an attempt
    // that the sidecar has not seen, learns that it never started, and answers its caller "not
    // run". The message that begins the attempt arrives later and must be rejected.
    @Test
    void revokedAttemptIsRefusedWhenItArrivesLate() throws InterruptedException {
        RevokeRequest revoke =
                RevokeRequest.newBuilder()
                        .setAttempt(IdCodec.toWire(SidecarFixture.id(7)))
                        .setTarget(IdCodec.toWire(mFixture.sidecar().self()))
                        .build();
        AttemptState state = mFixture.stub().revoke(revoke).getState();
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

    // The engine is stopped and the connection can't be opened, so that the call certainly did not
    // run. The sidecar reports this, and the router may retry on another backend server.
    @Test
    void attemptIsRefusedIfEngineIsUnreachable() throws InterruptedException {
        mFixture.stopEngine();
        mFixture.open(mReader, mFixture.begin(1, true, 16));
        assertThat(mReader.await(Frame.Refused.class).code()).isEqualTo(ResultCode.BACKEND_REFUSED);
    }

    // The engine's connection breaks after ten tokens. The router has received them already and
    // must learn that the answer is incomplete.
    @Test
    void cutStreamIsReportedAsIncomplete() throws IOException, InterruptedException {
        mFixture.injectFault("{\"kind\": \"cut\", \"after\": 10}");
        mFixture.open(mReader, mFixture.begin(1, true, 64));
        assertThat(mReader.await(Frame.Failed.class).code()).isEqualTo(ResultCode.ANSWER_CUT);
        assertThat(mReader.body()).startsWith("data: ");
    }

    // The engine sends half of an answer that has a Content-Length, then the connection ends.
    @Test
    void answerShorterThanContentLengthIsReportedAsIncomplete()
            throws IOException, InterruptedException {
        mFixture.injectFault("{\"kind\": \"cut\", \"after\": 10}");
        mFixture.open(mReader, mFixture.begin(1, false, 64));
        assertThat(mReader.await(Frame.Failed.class).code()).isEqualTo(ResultCode.ANSWER_CUT);
    }

    // The engine answers with a status that is documented to mean "rejected before execution". An
    // idempotent call then counts as not run.
    @Test
    void documentedRefusalCountsAsNotRunForAnIdempotentCall()
            throws IOException, InterruptedException {
        mFixture.injectFault("{\"kind\": \"refuse\", \"count\": 1}");
        mFixture.open(mReader, mFixture.begin(1, false, 16));
        assertThat(mReader.await(Frame.Refused.class).code()).isEqualTo(ResultCode.BACKEND_REFUSED);
    }

    // For a call that is not idempotent, the status is passed on as the answer: if the
    // documentation
    // were wrong, a retry would run the call twice.
    @Test
    void documentedRefusalIsPassedOnForACallThatIsNotIdempotent()
            throws IOException, InterruptedException {
        mFixture.injectFault("{\"kind\": \"refuse\", \"count\": 1}");
        mFixture.open(mReader, mFixture.begin(1, false, 16, false));
        assertThat(mReader.await(Frame.Head.class).status()).isEqualTo(503);
        mReader.await(Frame.End.class);
    }

    // SIGTERM arrives in the middle of an answer. The sidecar rejects new attempts and exits only
    // after it has sent the complete answer.
    @Test
    void stopWaitsForRunningAnswer() throws InterruptedException {
        mFixture.open(mReader, mFixture.begin(1, true, 64));
        mReader.await(Frame.Data.class);
        Thread stop = new Thread(mFixture.sidecar()::stop);
        stop.start();

        assertThat(mReader.await(Frame.End.class).length()).isEqualTo(mReader.body().length());
        assertThat(mReader.body()).endsWith(DONE_EVENT);
        stop.join();
    }

    // By the duration of earlier requests, a request needs more time than its deadline leaves. If
    // it ran, it would occupy the engine and time out in the end, so it is rejected at once as not
    // run.
    @Test
    void requestThatCannotMeetDeadlineIsRefusedAtOnce() throws InterruptedException {
        mFixture.open(mReader, mFixture.begin(1, false, 16));
        mReader.await(Frame.End.class);
        AttemptReader rejected = new AttemptReader();
        mFixture.open(rejected, mFixture.beginTooExpensive(2));
        assertThat(rejected.await(Frame.Refused.class).code())
                .isEqualTo(ResultCode.DEADLINE_UNREACHABLE);
    }

    @Test
    void decisionIsExplainedByRequestName() throws InterruptedException {
        mFixture.open(mReader, mFixture.begin(1, false, 16));
        mReader.await(Frame.End.class);
        ExplainRequest request =
                ExplainRequest.newBuilder().setSubject(SidecarFixture.id(1).requestName()).build();
        Decision decision = mFixture.stub().explain(request).getDecisions(0);
        assertThat(decision.getChoice()).isEqualTo("engine-1");
        assertThat(decision.getReason()).isEqualTo("within_bound");
    }

    // A sidecar that has had no exchange with control since its start doesn't know the latest
    // fencing token, so it rejects every order.
    @Test
    void orderIsRefusedBeforeFirstExchangeWithControl() {
        OrderRequest order =
                OrderRequest.newBuilder().setKind("load_model").setArgument("big").build();
        int code = mFixture.stub().order(order).getCode();
        assertThat(ResultCode.of(code)).isEqualTo(ResultCode.POSSIBLY_STALE);
    }
}
