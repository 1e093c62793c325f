package org.laurelweir.router.direct;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.laurelweir.attempt.AttemptRequest;
import org.laurelweir.direct.DirectEffect;
import org.laurelweir.direct.DirectEvent;
import org.laurelweir.direct.Prompt;
import org.laurelweir.direct.Route;
import org.laurelweir.direct.RoutedRequest;
import org.laurelweir.lib.BackendRef;
import org.laurelweir.router.http.HttpDialect;
import org.laurelweir.runtime.rpc.EventLoops;
import org.laurelweir.settings.RouteShare;

/** Tests calls to a backend server that asks for backoff, over real connections. */
class BackendCallsTest {
    private static final Duration TIMEOUT = Duration.ofSeconds(20);
    private static final BackendRef FIRST_RUN = new BackendRef("w", 1000);
    private static final BackendRef SECOND_RUN = new BackendRef("w", 2000);
    private static final String BACKOFF_ANSWER =
            "HTTP/1.1 503 X\r\nX-Not-Run: 1\r\nRetry-After: 600\r\nContent-Length: 0\r\n\r\n";

    private final BlockingQueue<DirectEvent> mEvents = new LinkedBlockingQueue<>();
    private final AtomicInteger mRequests = new AtomicInteger();
    private final EventLoops mLoops = new EventLoops("backend-calls-test", 1);
    private final BackendCalls mCalls = new BackendCalls(mLoops, HttpDialect.DEFAULT, mEvents::add);
    private ServerSocket mServer;

    @BeforeEach
    void listen() throws IOException {
        mServer = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        Thread thread = new Thread(this::serve, "refusing-server");
        thread.setDaemon(true);
        thread.start();
    }

    @AfterEach
    void close() throws IOException {
        mServer.close();
        mLoops.close();
    }

    /** Answers each connection's request, and closes it. */
    private void serve() {
        while (!mServer.isClosed()) {
            try (Socket socket = mServer.accept()) {
                readHead(socket.getInputStream());
                mRequests.incrementAndGet();
                socket.getOutputStream().write(BACKOFF_ANSWER.getBytes(StandardCharsets.US_ASCII));
            } catch (IOException e) {
                // The server was closed at the end of the test.
                return;
            }
        }
    }

    private static void readHead(InputStream in) throws IOException {
        StringBuilder head = new StringBuilder();
        while (head.indexOf("\r\n\r\n") < 0) {
            int b = in.read();
            if (b < 0) {
                throw new IOException("the request ended within its head");
            }
            head.append((char) b);
        }
    }

    private void begin(long call, BackendRef server) {
        Route route =
                new Route(
                        "r",
                        "h",
                        "/",
                        List.of(new RouteShare("s", 1)),
                        true,
                        false,
                        false,
                        false,
                        1,
                        TIMEOUT,
                        TIMEOUT,
                        TIMEOUT,
                        5);
        AttemptRequest.Call message =
                new AttemptRequest.Call("GET", "/x", List.of(), new byte[0], false);
        RoutedRequest request =
                new RoutedRequest("id" + call, route, "acc", 5, TIMEOUT, message, Prompt.NONE);
        String address = "127.0.0.1:" + mServer.getLocalPort();
        mCalls.begin(new DirectEffect.BeginCall(call, server, address, request, TIMEOUT, "", ""));
    }

    private <E extends DirectEvent> E await(Class<E> type) throws InterruptedException {
        while (true) {
            DirectEvent event = mEvents.poll(TIMEOUT.toSeconds(), TimeUnit.SECONDS);
            assertThat(event).as("an event of " + type.getSimpleName()).isNotNull();
            if (type.isInstance(event)) {
                return type.cast(event);
            }
        }
    }

    /**
     * Guards against a request that was chosen before a server asked for backoff and sent after.
     */
    @Test
    void requestThatWasChosenBeforeTheBackoffIsNotSent() throws InterruptedException {
        begin(1, FIRST_RUN);
        await(DirectEvent.Finished.class);
        begin(2, FIRST_RUN);
        DirectEvent.Failed failed = await(DirectEvent.Failed.class);
        assertThat(failed.call()).isEqualTo(2);
        assertThat(failed.failure()).isEqualTo(DirectEvent.Failure.WITHHELD);
        assertThat(mRequests.get()).isEqualTo(1);
    }

    /** Guards against a backoff that outlives the server that asked for it. */
    @Test
    void requestToTheServerStartedAnewIsSent() throws InterruptedException {
        begin(1, FIRST_RUN);
        await(DirectEvent.Finished.class);
        begin(2, SECOND_RUN);
        await(DirectEvent.Finished.class);
        assertThat(mRequests.get()).isEqualTo(2);
    }
}
