package org.laurelweir.router;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.InputStream;
import java.net.Socket;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** What callers see of a whole router while connections and callers misbehave. */
class RouterFailureTest {
    private static final long LONG_WAIT_SECONDS = 30;

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

    // Half of the answer has arrived when something between router and sidecar loses track of the
    // connection: it stays open and silent for good. The router finds it silent, opens a new one
    // and asks for the rest; the caller gets the whole answer and notices no more than a pause.
    @Test
    void answerGoesOnOverANewConnection() throws Exception {
        CountDownLatch begun = new CountDownLatch(1);
        mFixture.mSidecar.mScript =
                s -> {
                    s.head("text/plain");
                    s.data("half, ");
                    begun.countDown();
                };
        CompletableFuture<HttpResponse<InputStream>> answer =
                mFixture.mHttp.sendAsync(
                        mFixture.chatRequest(RouterFixture.question("x")),
                        HttpResponse.BodyHandlers.ofInputStream());
        assertThat(begun.await(LONG_WAIT_SECONDS, TimeUnit.SECONDS)).isTrue();
        FakeSidecarServer.Session session =
                mFixture.mSidecar.mSessions.poll(LONG_WAIT_SECONDS, TimeUnit.SECONDS);
        mFixture.mSidecar.mOnResume =
                (resume, frames) -> {
                    FakeSidecarServer.Session rest = session.onStream(frames, resume.getOffset());
                    rest.head("text/plain");
                    rest.data("whole".substring((int) resume.getOffset() - 6));
                    rest.end(11);
                };
        InputStream body = answer.get(LONG_WAIT_SECONDS, TimeUnit.SECONDS).body();
        String first = new String(body.readNBytes(6), StandardCharsets.UTF_8);
        mFixture.mRelay.forgetOpenConnections();
        String rest = new String(body.readAllBytes(), StandardCharsets.UTF_8);

        assertThat(first + rest).isEqualTo("half, whole");
    }

    // An order has reached the sidecar, and the connection ends before anything came back. It may
    // run, so it must not be sent again: the router asks for its state and follows it. The caller
    // gets the one answer.
    @Test
    void lostConnectionIsNotTakenForUnsent() throws Exception {
        mFixture.mSidecar.mScript = s -> {};
        mFixture.mSidecar.mOnResume =
                (resume, frames) ->
                        mFixture.mSidecar.mBegun.peek().onStream(frames, 0).answer("a/b", "once");
        CompletableFuture<HttpResponse<String>> answer =
                mFixture.mHttp.sendAsync(mFixture.order(), RouterFixture.text());
        mFixture.mSidecar.mSessions.poll(LONG_WAIT_SECONDS, TimeUnit.SECONDS);
        mFixture.mRelay.cutOpenConnections();

        assertThat(answer.get(LONG_WAIT_SECONDS, TimeUnit.SECONDS).body()).isEqualTo("once");
        assertThat(mFixture.mSidecar.mBegun).hasSize(1);
    }

    @Test
    void slowSenderIsToldSoAndLeft() throws Exception {
        try (Socket socket = mFixture.socket()) {
            socket.getOutputStream().write("POST /v1/chat".getBytes(StandardCharsets.UTF_8));
            String seen =
                    new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
            assertThat(seen).startsWith("HTTP/1.1 408").contains("\"code\":1008");
        }
    }

    @Test
    void connectionsOverTheLimitAreToldToComeBack() throws Exception {
        try (Socket first = mFixture.socket();
                Socket second = mFixture.socket();
                Socket third = mFixture.socket()) {
            String seen = new String(third.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
            assertThat(seen).startsWith("HTTP/1.1 503").containsIgnoringCase("retry-after: 1");
            assertThat(first.isConnected() && second.isConnected()).isTrue();
        }
    }
}
