package org.laurelweir.sidecar;

import io.grpc.ManagedChannel;
import io.grpc.netty.NettyChannelBuilder;
import io.grpc.stub.StreamObserver;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.time.InstantSource;
import java.util.List;
import org.laurelweir.attempt.AttemptRequest;
import org.laurelweir.attempt.Header;
import org.laurelweir.lib.AttemptId;
import org.laurelweir.runtime.config.SettingsFile;
import org.laurelweir.standin.engine.EngineServer;
import org.laurelweir.standin.engine.EngineSettings;
import org.laurelweir.wire.AttemptCodec;
import org.laurelweir.wire.IdCodec;
import org.laurelweir.wire.v1.AttemptMessage;
import org.laurelweir.wire.v1.Resume;
import org.laurelweir.wire.v1.SidecarServiceGrpc;

/** A stand-in engine, the sidecar beside it, and a router's connection to the sidecar. */
final class SidecarFixture implements AutoCloseable {
    private static final String UNREACHABLE_CONTROL = "127.0.0.1:1";
    private static final long CHAT_KEY = 11;
    private static final String CHAT =
            """
            {"model": "standin", "stream": %s, "max_tokens": %d,
             "messages": [{"role": "user", "content": "Which berth is free? [[m-7]]"}]}
            """;
    private static final String SETTINGS =
            """
            program: sidecar
            name: %s
            version: v1.2
            service: seilhjerne
            region: vestkyst
            data-centre: bergen
            listen: "127.0.0.1:0"
            backend: "127.0.0.1:%d"
            refusal-statuses: [503]
            controls: ["%s"]
            """;

    private final EngineServer mEngine;
    private final SidecarProgram mSidecar;
    private final ManagedChannel mChannel;

    /** Starts an engine and a sidecar that can't reach control. */
    SidecarFixture(Path folder) throws IOException {
        this(folder, "engine-1", UNREACHABLE_CONTROL);
    }

    SidecarFixture(Path folder, String name, String control) throws IOException {
        mEngine = new EngineServer(engineSettings(), InstantSource.system());
        mEngine.start();
        int port = mEngine.server().address().getPort();
        Path file =
                Files.writeString(
                        folder.resolve(name + ".yaml"), SETTINGS.formatted(name, port, control));
        SidecarFile settings = SettingsFile.read(SidecarFile.class, file);
        mSidecar = new SidecarProgram(settings, InstantSource.system(), s -> {});
        mSidecar.start();
        mChannel =
                NettyChannelBuilder.forAddress("127.0.0.1", mSidecar.endpoint().port())
                        .usePlaintext()
                        .build();
    }

    /** Returns settings of an engine that doesn't check fencing tokens; only the sidecar does. */
    private static EngineSettings engineSettings() {
        EngineSettings.Orders unchecked = new EngineSettings.Orders(false, Duration.ZERO);
        return EngineSettings.builder().name("e").orders(unchecked).build();
    }

    SidecarProgram sidecar() {
        return mSidecar;
    }

    SidecarServiceGrpc.SidecarServiceBlockingStub stub() {
        return SidecarServiceGrpc.newBlockingStub(mChannel);
    }

    /** Opens an attempt stream and sends its first message. */
    StreamObserver<AttemptMessage> open(AttemptReader reader, AttemptMessage first) {
        StreamObserver<AttemptMessage> stream =
                SidecarServiceGrpc.newStub(mChannel).attempt(reader);
        stream.onNext(first);
        return stream;
    }

    static AttemptId id(long request) {
        return new AttemptId("router-1", 1, request, 1);
    }

    AttemptMessage begin(long request, boolean streamed, int tokens) {
        return begin(request, streamed, tokens, true);
    }

    AttemptMessage begin(long request, boolean streamed, int tokens, boolean idempotent) {
        return message(begin(request, streamed, tokens, CHAT_KEY).idempotent(idempotent).build());
    }

    /** Returns the message that begins a short turn of a chat. */
    AttemptMessage beginChat(long request, long chat, boolean returning) {
        return message(begin(request, false, 4, chat).chat(chat, returning).build());
    }

    /** Returns the message that begins a request which costs more than its deadline allows. */
    AttemptMessage beginTooExpensive(long request) {
        return message(begin(request, false, 1_000_000_000, CHAT_KEY).build());
    }

    private AttemptRequest.Builder begin(long request, boolean streamed, int tokens, long chat) {
        byte[] body = CHAT.formatted(streamed, tokens).getBytes(StandardCharsets.UTF_8);
        AttemptRequest.Call call =
                new AttemptRequest.Call(
                        "POST",
                        "/v1/chat/completions",
                        List.of(new Header("Content-Type", "application/json")),
                        body,
                        streamed);
        return AttemptRequest.builder(id(request), mSidecar.self())
                .account("account", 1)
                .service("seilhjerne")
                .chat(chat, false)
                .call(call)
                .timeLeft(Duration.ofMinutes(1))
                .cost(new AttemptRequest.Cost(10, tokens));
    }

    private static AttemptMessage message(AttemptRequest request) {
        return AttemptMessage.newBuilder().setBegin(AttemptCodec.toWire(request)).build();
    }

    AttemptMessage resume(long request, long offset) {
        Resume resume =
                Resume.newBuilder()
                        .setAttempt(IdCodec.toWire(id(request)))
                        .setTarget(IdCodec.toWire(mSidecar.self()))
                        .setOffset(offset)
                        .build();
        return AttemptMessage.newBuilder().setResume(resume).build();
    }

    /** Makes the engine inject a fault. */
    void injectFault(String json) throws IOException, InterruptedException {
        send(engine("/engine/faults").POST(HttpRequest.BodyPublishers.ofString(json)));
    }

    /** Returns the orders that the engine received, as JSON. */
    String engineOrders() throws IOException, InterruptedException {
        return send(engine("/engine/orders"));
    }

    private HttpRequest.Builder engine(String path) {
        int port = mEngine.server().address().getPort();
        return HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + port + path));
    }

    private static String send(HttpRequest.Builder request)
            throws IOException, InterruptedException {
        HttpResponse.BodyHandler<String> text = HttpResponse.BodyHandlers.ofString();
        return HttpClient.newHttpClient().send(request.build(), text).body();
    }

    void stopEngine() {
        mEngine.stop();
    }

    @Override
    public void close() {
        mChannel.shutdownNow();
        mSidecar.stop();
        mEngine.stop();
    }
}
