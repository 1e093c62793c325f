package org.laurelweir.router;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.net.SocketException;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests a complete router with failing connections and with misbehaving callers. */
class RouterFailureTest {
    private static final long WAIT_TIMEOUT_SECONDS = 30;

    private RouterFixture mFixture;

    @BeforeEach
    void start() throws Exception {
        mFixture =
                new RouterFixture(
                        Map.of(
                                "stream.silence",
                                "300ms",
                                "limit.request-time",
                                "300ms",
                                "limit.connections",
                                "2"));
    }

    @AfterEach
    void stop() {
        mFixture.close();
    }

    // Guards against an answer that hangs when the connection to the sidecar stays open but passes
    // no more data. After the silence timeout the router resumes the attempt over a new connection,
    // and the caller gets the complete answer after a pause.
    @Test
    void answerResumesOverANewConnection() throws Exception {
        CountDownLatch firstHalfSent = new CountDownLatch(1);
        mFixture.mSidecar.mScript =
                s -> {
                    s.head("text/plain");
                    s.data("half, ");
                    firstHalfSent.countDown();
                };
        CompletableFuture<HttpResponse<InputStream>> answer =
                mFixture.mHttp.sendAsync(
                        mFixture.chatRequest(RouterFixture.chatBody("x")),
                        HttpResponse.BodyHandlers.ofInputStream());
        assertThat(firstHalfSent.await(WAIT_TIMEOUT_SECONDS, TimeUnit.SECONDS)).isTrue();
        FakeSidecarServer.Session session =
                mFixture.mSidecar.mScriptedSessions.poll(WAIT_TIMEOUT_SECONDS, TimeUnit.SECONDS);
        mFixture.mSidecar.mOnResume =
                (resume, frames) -> {
                    FakeSidecarServer.Session resumed =
                            session.onStream(frames, resume.getOffset());
                    resumed.head("text/plain");
                    resumed.data("whole".substring((int) resume.getOffset() - 6));
                    resumed.end(11);
                };
        InputStream body = answer.get(WAIT_TIMEOUT_SECONDS, TimeUnit.SECONDS).body();
        String first = new String(body.readNBytes(6), StandardCharsets.UTF_8);
        mFixture.mRelay.blackholeOpenConnections();
        String rest = new String(body.readAllBytes(), StandardCharsets.UTF_8);

        assertThat(first + rest).isEqualTo("half, whole");
    }

    // Guards against running a non-idempotent order twice. The order reaches the sidecar, and the
    // connection is closed before any frame returns. The order may be running, so the router
    // resumes the attempt instead of sending the order again.
    @Test
    void orderIsNotResentAfterALostConnection() throws Exception {
        mFixture.mSidecar.mScript = s -> {};
        mFixture.mSidecar.mOnResume =
                (resume, frames) ->
                        mFixture.mSidecar
                                .mStartedSessions
                                .peek()
                                .onStream(frames, 0)
                                .answer("a/b", "once");
        CompletableFuture<HttpResponse<String>> answer =
                mFixture.mHttp.sendAsync(mFixture.orderRequest(), RouterFixture.text());
        mFixture.mSidecar.mScriptedSessions.poll(WAIT_TIMEOUT_SECONDS, TimeUnit.SECONDS);
        mFixture.mRelay.closeOpenConnections();

        assertThat(answer.get(WAIT_TIMEOUT_SECONDS, TimeUnit.SECONDS).body()).isEqualTo("once");
        assertThat(mFixture.mSidecar.mStartedSessions).hasSize(1);
    }

    @Test
    void slowSenderGets408AndIsDisconnected() throws Exception {
        try (Socket socket = mFixture.socket()) {
            socket.getOutputStream().write("POST /v1/chat".getBytes(StandardCharsets.UTF_8));
            String seen =
                    new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
            assertThat(seen).startsWith("HTTP/1.1 408").contains("\"code\":1008");
        }
    }

    // Guards against a 408, which promises "not run", for a request that is run once it is
    // complete.
    @Test
    void requestThatIsCompletedAfterA408IsNotRun() throws Exception {
        String request = RouterFixture.rawChat("slow");
        try (Socket socket = mFixture.socket()) {
            int sent = request.length() - 1;
            socket.getOutputStream()
                    .write(request.substring(0, sent).getBytes(StandardCharsets.UTF_8));
            assertThat((char) socket.getInputStream().read()).isEqualTo('H');
            socket.getOutputStream()
                    .write(request.substring(sent).getBytes(StandardCharsets.UTF_8));
            assertThat("H" + readUntilClosed(socket)).startsWith("HTTP/1.1 408");
        }
        mFixture.chat(RouterFixture.chatBody("next"));
        assertThat(mFixture.mSidecar.mStartedSessions).hasSize(1);
    }

    // Guards against connections over the limit that take descriptors and work of the router while
    // they are refused, and keep their callers from trying another router.
    @Test
    void connectionsOverTheLimitAreClosedUnread() throws Exception {
        try (Socket first = mFixture.socket();
                Socket second = mFixture.socket()) {
            for (int i = 0; i < 20; i++) {
                try (Socket third = mFixture.socket()) {
                    assertThat(readUntilClosed(third)).isEmpty();
                }
            }
            first.getOutputStream().write("POST /v1/chat".getBytes(StandardCharsets.UTF_8));
            second.getOutputStream().write("POST /v1/chat".getBytes(StandardCharsets.UTF_8));
            assertThat(readUntilClosed(first)).startsWith("HTTP/1.1 408");
            assertThat(readUntilClosed(second)).startsWith("HTTP/1.1 408");
        }
    }

    /** Returns what a connection brings until it is closed or reset. */
    private static String readUntilClosed(Socket socket) throws IOException {
        StringBuilder seen = new StringBuilder();
        try {
            int b = socket.getInputStream().read();
            while (b >= 0) {
                seen.append((char) b);
                b = socket.getInputStream().read();
            }
        } catch (SocketException e) {
            // The connection was reset.
            return seen.toString();
        }
        return seen.toString();
    }
}
