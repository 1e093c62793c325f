package org.laurelweir.sidecar;

import static org.assertj.core.api.Assertions.assertThat;

import io.grpc.ManagedChannel;
import io.grpc.netty.NettyChannelBuilder;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.laurelweir.attempt.Frame;
import org.laurelweir.junit.Await;
import org.laurelweir.junit.JavaProcess;
import org.laurelweir.lib.AttemptId;
import org.laurelweir.lib.BackendRef;
import org.laurelweir.wire.IdCodec;
import org.laurelweir.wire.v1.ExplainRequest;
import org.laurelweir.wire.v1.RevokeRequest;
import org.laurelweir.wire.v1.SidecarServiceGrpc;

/**
 * Tests a sidecar's process with little memory beside clients that send what no router sends, or
 * requests that cost much. Their backend server doesn't read large requests.
 */
class MisbehavingClientsSidecarTest {
    private static final int CLIENTS = 25;
    private static final int STREAMS = 1_000;
    private static final int BODY_BYTES = 6 << 20;
    private static final int SMALL_BODY_BYTES = 20_000;
    private static final byte[] ORDINARY_BODY = new byte[100];

    /** Heap and direct memory of the process, and as much again for the virtual machine. */
    private static final long MAX_RESIDENT_BYTES = 200L << 20;

    private static final long MAX_DESCRIPTORS = 400;
    private static final List<String> LITTLE_MEMORY =
            List.of("-Xmx48m", "-XX:MaxDirectMemorySize=24m", "-Xss256k");
    private static final String SETTINGS =
            """
            program: sidecar
            name: engine-1
            service: seilhjerne
            region: vestkyst
            data-centre: bergen
            listen: "127.0.0.1:0"
            port-file: "%s"
            backend: "127.0.0.1:%d"
            controls: ["127.0.0.1:1"]
            """;

    @TempDir Path mFolder;

    private PartlyStuckBackend mBackend;
    private JavaProcess mSidecar;
    private ManagedChannel mChannel;
    private BackendRef mTarget;
    private int mRequests;

    /** What each client sends. */
    enum Sent {
        UNFINISHED_MESSAGE(
                (crowd, channel) ->
                        crowd.sendUnfinished(
                                channel,
                                SidecarServiceGrpc.getExplainMethod(),
                                ExplainRequest.newBuilder()
                                        .setSubject("x".repeat(BODY_BYTES))
                                        .build())),
        STREAMS_WITHOUT_A_MESSAGE(
                (crowd, channel) -> {
                    for (int i = 0; i < STREAMS; i++) {
                        crowd.stream(channel, SidecarCrowd.cancel(), 0);
                    }
                }),
        STREAMS_WITH_A_MESSAGE_WITHOUT_EFFECT(
                (crowd, channel) -> {
                    for (int i = 0; i < STREAMS; i++) {
                        crowd.stream(channel, SidecarCrowd.cancel(), 1);
                    }
                }),
        MANY_MESSAGES(
                (crowd, channel) -> crowd.stream(channel, SidecarCrowd.acknowledge(), 20_000)),
        LARGE_BODIES(
                (crowd, channel) -> {
                    for (int i = 0; i < 3; i++) {
                        crowd.begin(channel, BODY_BYTES);
                    }
                }),
        SMALL_BODIES(
                (crowd, channel) -> {
                    for (int i = 0; i < STREAMS; i++) {
                        crowd.begin(channel, SMALL_BODY_BYTES);
                    }
                }),
        MANY_LOCATIONS(
                (crowd, channel) ->
                        crowd.sendUnfinished(
                                channel,
                                SidecarServiceGrpc.getHandOverChatsMethod(),
                                SidecarCrowd.manyLocations(100_000))),
        MANY_CHATS(
                (crowd, channel) ->
                        SidecarServiceGrpc.newFutureStub(channel)
                                .locateChats(SidecarCrowd.manyChats(200_000)));

        private final SidecarCrowd.Client mClient;

        Sent(SidecarCrowd.Client client) {
            mClient = client;
        }
    }

    @BeforeEach
    void start() throws Exception {
        mBackend = new PartlyStuckBackend();
        Path portFile = mFolder.resolve("port");
        Path settings =
                Files.writeString(
                        mFolder.resolve("sidecar.yaml"),
                        SETTINGS.formatted(portFile, mBackend.port()));
        mSidecar =
                new JavaProcess(
                        "sidecar",
                        log(),
                        LITTLE_MEMORY,
                        Main.class.getName(),
                        List.of("--settings", settings.toString()));
        mSidecar.start();
        int port = mSidecar.awaitPort(portFile);
        mChannel = NettyChannelBuilder.forAddress("127.0.0.1", port).usePlaintext().build();
        RevokeRequest question =
                RevokeRequest.newBuilder()
                        .setAttempt(IdCodec.toWire(new AttemptId("router-1", 1, 1, 1)))
                        .setTarget(IdCodec.toWire(new BackendRef("engine-1", 1)))
                        .build();
        mTarget = IdCodec.toCore(stub().revoke(question).getAnsweredBy());
    }

    @AfterEach
    void stop() {
        mChannel.shutdownNow();
        mSidecar.destroy();
        mBackend.close();
    }

    private Path log() {
        return mFolder.resolve("sidecar.log");
    }

    private SidecarServiceGrpc.SidecarServiceBlockingStub stub() {
        return SidecarServiceGrpc.newBlockingStub(mChannel);
    }

    // Guards against clients that end a sidecar, or keep it from running the attempts of others.
    @ParameterizedTest
    @EnumSource
    void sidecarOutlivesClients(Sent sent) throws Exception {
        int port = mSidecar.awaitPort(mFolder.resolve("port"));
        try (SidecarCrowd crowd = new SidecarCrowd(port, mTarget, CLIENTS, sent.mClient)) {
            crowd.awaitSent();
            assertThat(mSidecar.isRunning()).as("the process runs").isTrue();
            assertThat(mSidecar.openDescriptors()).as("descriptors").isLessThan(MAX_DESCRIPTORS);
        }
        Await.until("an ordinary attempt is run", this::isRun);
        assertThat(mSidecar.isRunning()).as("the process runs").isTrue();
        assertThat(mSidecar.peakResidentBytes())
                .as("peak of resident memory")
                .isLessThan(MAX_RESIDENT_BYTES);
        assertThat(logText()).doesNotContain("OutOfMemoryError").doesNotContain("OutOfDirect");
    }

    private boolean isRun() {
        AttemptReader reader = new AttemptReader();
        SidecarServiceGrpc.newStub(mChannel)
                .withDeadlineAfter(10, TimeUnit.SECONDS)
                .attempt(reader)
                .onNext(SidecarCrowd.begin(mTarget, 1_000_000 + ++mRequests, ORDINARY_BODY));
        try {
            reader.await(Frame.End.class);
            return true;
        } catch (AssertionError e) {
            // It was refused, or the process has not read it.
            return false;
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    private String logText() throws IOException {
        return Files.readString(log());
    }
}
