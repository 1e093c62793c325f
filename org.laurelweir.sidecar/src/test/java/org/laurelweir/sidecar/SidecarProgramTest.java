package org.laurelweir.sidecar;

import static org.assertj.core.api.Assertions.assertThat;

import io.grpc.ManagedChannel;
import io.grpc.netty.NettyChannelBuilder;
import io.grpc.stub.StreamObserver;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.time.InstantSource;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.laurelweir.attempt.AttemptRequest;
import org.laurelweir.attempt.Frame;
import org.laurelweir.attempt.Header;
import org.laurelweir.lib.AttemptId;
import org.laurelweir.lib.ResultCode;
import org.laurelweir.runtime.config.SettingsFile;
import org.laurelweir.standin.ListenSettings;
import org.laurelweir.standin.engine.EngineServer;
import org.laurelweir.standin.engine.EngineSettings;
import org.laurelweir.wire.AttemptCodec;
import org.laurelweir.wire.IdCodec;
import org.laurelweir.wire.v1.AttemptMessage;
import org.laurelweir.wire.v1.AttemptState;
import org.laurelweir.wire.v1.Cancel;
import org.laurelweir.wire.v1.Decision;
import org.laurelweir.wire.v1.ExplainRequest;
import org.laurelweir.wire.v1.OrderRequest;
import org.laurelweir.wire.v1.Resume;
import org.laurelweir.wire.v1.RevokeRequest;
import org.laurelweir.wire.v1.SidecarServiceGrpc;

/** A sidecar beside a stand-in engine, while no control instance can be reached. */
@Timeout(120)
class SidecarProgramTest {
    private static final String CHAT =
            """
            {"model": "standin", "stream": %s, "max_tokens": %d,
             "messages": [{"role": "user", "content": "Which berth is free? [[m-7]]"}]}
            """;

    @TempDir Path mFolder;

    private EngineServer mEngine;
    private SidecarProgram mSidecar;
    private ManagedChannel mChannel;

    @BeforeEach
    void start() throws IOException {
        mEngine = new EngineServer(engineSettings(), InstantSource.system());
        mEngine.start();
        InetSocketAddress engine = mEngine.server().address();
        Path file =
                Files.writeString(
                        mFolder.resolve("sidecar.yaml"),
                        """
                        program: sidecar
                        name: engine-1
                        service: seilhjerne
                        region: vestkyst
                        data-centre: bergen
                        listen: "127.0.0.1:0"
                        backend: "127.0.0.1:%d"
                        controls: ["127.0.0.1:1"]
                        """
                                .formatted(engine.getPort()));
        SidecarFile settings = SettingsFile.read(SidecarFile.class, file);
        mSidecar = new SidecarProgram(settings, InstantSource.system(), s -> {});
        mSidecar.start();
        mChannel =
                NettyChannelBuilder.forAddress("127.0.0.1", mSidecar.endpoint().port())
                        .usePlaintext()
                        .build();
    }

    private static EngineSettings engineSettings() {
        return new EngineSettings(
                "e",
                ListenSettings.LOOPBACK,
                null,
                null,
                null,
                null,
                null,
                null,
                0,
                0,
                0,
                null,
                0,
                null);
    }

    @AfterEach
    void stop() {
        mChannel.shutdownNow();
        mSidecar.stop();
        mEngine.stop();
    }

    @Test
    void streamedAnswerArrivesWholeWithItsUsage() throws InterruptedException {
        AttemptReader reader = new AttemptReader();
        open(reader).onNext(begin(1, true, 16));

        assertThat(reader.await(Frame.Head.class).status()).isEqualTo(200);
        Frame.End end = reader.await(Frame.End.class);
        assertThat(reader.body()).startsWith("data: ").endsWith("data: [DONE]\n\n");
        assertThat(end.length()).isEqualTo(reader.body().length());
    }

    @Test
    void plainAnswerReportsUsage() throws InterruptedException {
        AttemptReader reader = new AttemptReader();
        open(reader).onNext(begin(1, false, 16));

        Frame.End end = reader.await(Frame.End.class);
        assertThat(end.usage().completionTokens()).isEqualTo(16);
    }

    // The connection under a stream goes silent after the first bytes. The router opens another
    // stream and asks for the output from the offset that it has; it gets the rest, and the old
    // stream ends. The attempt itself is not run again.
    @Test
    void resumedStreamGetsTheRest() throws InterruptedException {
        AttemptReader first = new AttemptReader();
        open(first).onNext(begin(1, true, 64));
        first.await(Frame.Data.class);
        int offset = first.body().length();

        AttemptReader second = new AttemptReader();
        open(second).onNext(resume(1, offset));
        Frame.End end = second.await(Frame.End.class);
        assertThat(offset + second.body().length()).isEqualTo((int) end.length());
        assertThat(second.body()).endsWith("data: [DONE]\n\n");
    }

    // A router revokes an attempt that the sidecar has not seen, is told that it never started,
    // and tells its caller "not run". The message that begins the attempt arrives after that: were
    // it run now, the caller would have been told a lie.
    @Test
    void revokedAttemptIsRefusedWhenItArrivesLate() throws InterruptedException {
        RevokeRequest revoke =
                RevokeRequest.newBuilder()
                        .setAttempt(IdCodec.toWire(id(7)))
                        .setTarget(IdCodec.toWire(mSidecar.self()))
                        .build();
        AttemptState state = SidecarServiceGrpc.newBlockingStub(mChannel).revoke(revoke).getState();
        assertThat(state).isEqualTo(AttemptState.NEVER_STARTED);

        AttemptReader reader = new AttemptReader();
        open(reader).onNext(begin(7, false, 16));
        assertThat(reader.await(Frame.Refused.class).code()).isEqualTo(ResultCode.REVOKED);
    }

    @Test
    void cancelledAttemptEnds() throws InterruptedException {
        AttemptReader reader = new AttemptReader();
        StreamObserver<AttemptMessage> stream = open(reader);
        stream.onNext(begin(1, true, 100_000));
        reader.await(Frame.Data.class);
        stream.onNext(AttemptMessage.newBuilder().setCancel(Cancel.newBuilder()).build());
        assertThat(reader.await(Frame.Failed.class).code()).isEqualTo(ResultCode.CANCELLED);
    }

    // The engine is gone. The call can't even be connected, so that it is certain not to have run:
    // the router is told so, and may try another backend server.
    @Test
    void attemptIsRefusedWhereTheEngineIsGone() throws InterruptedException {
        mEngine.stop();
        AttemptReader reader = new AttemptReader();
        open(reader).onNext(begin(1, true, 16));
        assertThat(reader.await(Frame.Refused.class).code()).isEqualTo(ResultCode.BACKEND_REFUSED);
    }

    // SIGTERM comes in the middle of an answer. The sidecar takes nothing new, and exits only after
    // the answer went out whole.
    @Test
    void stopCutsNoAnswer() throws InterruptedException {
        AttemptReader running = new AttemptReader();
        open(running).onNext(begin(1, true, 64));
        running.await(Frame.Data.class);
        Thread stop = new Thread(mSidecar::stop);
        stop.start();

        assertThat(running.await(Frame.End.class).length()).isEqualTo(running.body().length());
        assertThat(running.body()).endsWith("data: [DONE]\n\n");
        stop.join();
    }

    @Test
    void decisionIsExplainedByItsRequestsName() throws InterruptedException {
        AttemptReader reader = new AttemptReader();
        open(reader).onNext(begin(1, false, 16));
        reader.await(Frame.End.class);
        ExplainRequest request =
                ExplainRequest.newBuilder().setSubject(id(1).requestName()).build();
        Decision decision =
                SidecarServiceGrpc.newBlockingStub(mChannel).explain(request).getDecisions(0);
        assertThat(decision.getChoice()).isEqualTo("engine-1");
        assertThat(decision.getReason()).isEqualTo("within_bound");
    }

    // The sidecar was just started and control can't be reached, so that it can't know which orders
    // went before: none passes.
    @Test
    void orderIsRefusedBeforeControlWasHeard() {
        OrderRequest order =
                OrderRequest.newBuilder().setKind("load_model").setArgument("big").build();
        int code = SidecarServiceGrpc.newBlockingStub(mChannel).order(order).getCode();
        assertThat(ResultCode.of(code)).isEqualTo(ResultCode.POSSIBLY_STALE);
    }

    private StreamObserver<AttemptMessage> open(AttemptReader reader) {
        return SidecarServiceGrpc.newStub(mChannel).attempt(reader);
    }

    private static AttemptId id(long request) {
        return new AttemptId("router-1", 1, request, 1);
    }

    private AttemptMessage begin(long request, boolean streamed, int tokens) {
        byte[] body = CHAT.formatted(streamed, tokens).getBytes(StandardCharsets.UTF_8);
        AttemptRequest.Call call =
                new AttemptRequest.Call(
                        "POST",
                        "/v1/chat/completions",
                        List.of(new Header("Content-Type", "application/json")),
                        body,
                        streamed);
        AttemptRequest r =
                new AttemptRequest(
                        id(request),
                        mSidecar.self(),
                        "account",
                        "seilhjerne",
                        11,
                        false,
                        call,
                        true,
                        "",
                        Duration.ofMinutes(1),
                        0,
                        new AttemptRequest.Cost(10, tokens),
                        0,
                        1,
                        Duration.ZERO);
        return AttemptMessage.newBuilder().setBegin(AttemptCodec.toWire(r)).build();
    }

    private AttemptMessage resume(long request, long offset) {
        Resume resume =
                Resume.newBuilder()
                        .setAttempt(IdCodec.toWire(id(request)))
                        .setTarget(IdCodec.toWire(mSidecar.self()))
                        .setOffset(offset)
                        .build();
        return AttemptMessage.newBuilder().setResume(resume).build();
    }
}
