package org.laurelweir.router;

import com.codahale.metrics.MetricRegistry;
import java.io.IOException;
import java.net.Socket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.time.InstantSource;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import org.laurelweir.lib.BackendRef;
import org.laurelweir.membership.Backend;
import org.laurelweir.runtime.config.Endpoint;
import org.laurelweir.runtime.log.LogSettings;
import org.laurelweir.runtime.rpc.EventLoops;
import org.laurelweir.runtime.rpc.RpcServer;
import org.laurelweir.runtime.rpc.TrafficCounters;
import org.laurelweir.settings.ByteSize;
import org.laurelweir.settings.KeyDigest;

/** A complete router in this process, with a fake control instance and a fake sidecar over gRPC. */
final class RouterFixture implements AutoCloseable {
    static final String KEY = "broker-key";
    static final String CHAT = "/v1/chat/completions";

    final FakeControlServer mControl = new FakeControlServer();
    final FakeSidecarServer mSidecar = new FakeSidecarServer();
    final BlockingQueue<String> mOutput = new LinkedBlockingQueue<>();
    final HttpClient mHttp = HttpClient.newHttpClient();
    private final EventLoops mLoops = new EventLoops("fake", 2);
    private final RpcServer mControlServer = newServer(mControl);
    private final RpcServer mSidecarServer = newServer(mSidecar);
    final Relay mRelay;
    final RouterProgram mRouter;

    RouterFixture(Map<String, String> deploymentSettings) throws Exception {
        mControlServer.start();
        mSidecarServer.start();
        mRelay = new Relay(mSidecarServer.port());
        mControl.set("/", deploymentSettings);
        mControl.set("/account=broker", Map.of("account.key-digests", KeyDigest.of(KEY)));
        mControl.set("/service=hjerne", Map.of("service.models", "hjerne-1"));
        mControl.set(
                "/service=bok",
                Map.of("service.kind", "plain", "service.path-prefix", "/havnebok"));
        announce("hjerne");
        announce("bok");
        mRouter = new RouterProgram(file(), InstantSource.system(), mOutput::add);
        mRouter.start();
        awaitReady();
    }

    private RpcServer newServer(io.grpc.BindableService service) {
        TrafficCounters traffic = new TrafficCounters(new MetricRegistry());
        return RpcServer.builder(mLoops, traffic).service(service).build();
    }

    private void announce(String service) {
        String address = "127.0.0.1:" + mRelay.port();
        BackendRef ref = new BackendRef(service + "-1", 1);
        mControl.add(new Backend(ref, service, "bergen", "vestkyst", address, SERVING, 1, 1));
    }

    private static final Backend.State SERVING = Backend.State.SERVING;

    private RouterFile file() {
        Endpoint anyPort = new Endpoint("127.0.0.1", 0);
        return new RouterFile(
                "r1",
                "vestkyst",
                "bergen",
                anyPort,
                Optional.empty(),
                anyPort,
                anyPort,
                Optional.empty(),
                List.of(new Endpoint("127.0.0.1", mControlServer.port())),
                RouterFile.Order.GIVEN,
                0,
                Duration.ofMillis(100),
                2,
                1024,
                128,
                1,
                Duration.ofSeconds(1),
                Duration.ZERO,
                Duration.ofSeconds(30),
                Duration.ZERO,
                Duration.ZERO,
                0.1,
                32,
                Duration.ofSeconds(10),
                0,
                ByteSize.parse("8MiB"),
                ByteSize.parse("256KiB"),
                ByteSize.parse("16MiB"),
                ByteSize.parse("24MiB"),
                0,
                0,
                LogSettings.defaults());
    }

    private void awaitReady() throws Exception {
        while (mHttp.send(getRequest(readinessUri()), text()).statusCode() != 200) {
            Thread.onSpinWait();
        }
    }

    URI readinessUri() {
        return URI.create("http://" + mRouter.metricsEndpoint() + "/readyz");
    }

    URI metricsUri() {
        return URI.create("http://" + mRouter.metricsEndpoint() + "/metrics");
    }

    URI uri(String path) {
        return URI.create("http://" + mRouter.endpoint() + path);
    }

    static HttpRequest getRequest(URI uri) {
        return HttpRequest.newBuilder(uri).header("Authorization", "Bearer " + KEY).build();
    }

    HttpResponse<String> chat(String body) throws Exception {
        return mHttp.send(chatRequest(body), text());
    }

    HttpRequest chatRequest(String body) {
        return HttpRequest.newBuilder(uri(CHAT))
                .header("Authorization", "Bearer " + KEY)
                .POST(HttpRequest.BodyPublishers.ofString(body))
                .build();
    }

    HttpRequest orderRequest() {
        return HttpRequest.newBuilder(uri("/havnebok/orders"))
                .header("Authorization", "Bearer " + KEY)
                .header("Idempotency-Key", "order-7")
                .POST(HttpRequest.BodyPublishers.ofString("stores"))
                .build();
    }

    static String chatBody(String text) {
        return "{\"model\":\"hjerne-1\",\"messages\":[{\"role\":\"user\",\"content\":\""
                + text
                + "\"}]}";
    }

    static HttpResponse.BodyHandler<String> text() {
        return HttpResponse.BodyHandlers.ofString();
    }

    /** Opens a plain socket, for bytes that no HTTP client would send. */
    Socket socket() throws IOException {
        Socket socket = new Socket("127.0.0.1", mRouter.endpoint().port());
        socket.setSoTimeout(20_000);
        return socket;
    }

    static String rawChat(String question) {
        String body = chatBody(question);
        return "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer "
                + KEY
                + "\r\nContent-Length: "
                + body.length()
                + "\r\n\r\n"
                + body;
    }

    @Override
    public void close() {
        mRouter.stop();
        mRelay.close();
        mControlServer.stop();
        mSidecarServer.stop();
        mLoops.stop();
    }
}
