package org.laurelweir.router;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.Socket;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.laurelweir.attempt.Header;

/** Tests a complete router from its callers' side. */
class RouterProgramTest {
    private static final long WAIT_TIMEOUT_SECONDS = 30;

    private RouterFixture mFixture;

    @BeforeEach
    void start() throws Exception {
        mFixture =
                new RouterFixture(Map.of("limit.body-bytes", "4KiB", "limit.header-bytes", "2KiB"));
    }

    @AfterEach
    void stop() {
        mFixture.close();
    }

    private FakeSidecarServer.Session session() throws InterruptedException {
        return mFixture.mSidecar.mScriptedSessions.poll(WAIT_TIMEOUT_SECONDS, TimeUnit.SECONDS);
    }

    @Test
    void chatIsSentToTheSidecarAndAnswered() throws Exception {
        mFixture.mSidecar.mScript = s -> s.answer("application/json", "{\"id\":\"1\"}");

        HttpResponse<String> answer = mFixture.chat(RouterFixture.chatBody("hei"));

        assertThat(answer.statusCode()).isEqualTo(200);
        assertThat(answer.body()).isEqualTo("{\"id\":\"1\"}");
        assertThat(answer.headers().firstValue("X-Request-Id")).isPresent();
        FakeSidecarServer.Session s = session();
        assertThat(s.mRequest.account()).isEqualTo("broker");
        assertThat(s.mRequest.idempotent()).isTrue();
        assertThat(s.mRequest.call().headers()).contains(new Header("Priority", "5"));
        assertThat(s.mRequest.call().headers()).noneMatch(h -> h.value().contains("Bearer"));
        assertThat(mFixture.mOutput.poll())
                .isEqualTo("listening on " + mFixture.mRouter.endpoint());
    }

    @Test
    void eventsAreForwardedUnchanged() throws Exception {
        mFixture.mSidecar.mScript =
                s -> {
                    s.head("text/event-stream");
                    s.data("data: {\"n\":1}\n\n");
                    s.data("data: [DONE]\n\n");
                    s.end(29);
                };

        HttpResponse<String> answer = mFixture.chat(RouterFixture.chatBody("strøm"));

        assertThat(answer.headers().firstValue("Content-Type")).contains("text/event-stream");
        assertThat(answer.body()).isEqualTo("data: {\"n\":1}\n\ndata: [DONE]\n\n");
    }

    @Test
    void returningChatHasTheSameKey() throws Exception {
        mFixture.chat(RouterFixture.chatBody("hei"));
        long first = session().mRequest.chat();
        String turns =
                "{\"model\":\"hjerne-1\",\"messages\":[{\"role\":\"user\",\"content\":\"hei\"},"
                        + "{\"role\":\"assistant\",\"content\":\"ja\"},"
                        + "{\"role\":\"user\",\"content\":\"og\"}]}";
        mFixture.chat(turns);
        FakeSidecarServer.Session second = session();

        assertThat(second.mRequest.chat()).isEqualTo(first);
        assertThat(second.mRequest.returning()).isTrue();
    }

    @Test
    void plainServicesAreRoutedByPath() throws Exception {
        HttpResponse<String> answer =
                mFixture.mHttp.send(
                        RouterFixture.getRequest(mFixture.uri("/havnebok/kai/7?dag=3")),
                        RouterFixture.text());

        assertThat(answer.body()).isEqualTo("ok");
        assertThat(session().mRequest.call().path()).isEqualTo("/havnebok/kai/7?dag=3");
    }

    @Test
    void orderWithAnIdempotencyKeyIsSentAfterItsClaim() throws Exception {
        assertThat(mFixture.mHttp.send(mFixture.orderRequest(), RouterFixture.text()).body())
                .isEqualTo("ok");
        assertThat(session().mRequest.idempotent()).isFalse();
        assertThat(mFixture.mControl.mClaims.poll().getKey()).isEqualTo("order-7");
    }

    @Test
    void modelsAreListed() throws Exception {
        HttpResponse<String> answer =
                mFixture.mHttp.send(
                        RouterFixture.getRequest(mFixture.uri("/v1/models")), RouterFixture.text());

        assertThat(answer.body()).contains("\"object\":\"list\"").contains("\"id\":\"hjerne-1\"");
    }

    @Test
    void invalidRequestsGetTheirErrorCodes() throws Exception {
        assertThat(mFixture.chat("{\"model\":").body()).contains("\"code\":1001");
        assertThat(mFixture.chat("{\"model\":\"x\",\"messages\":[{\"role\":\"user\"}]}").body())
                .contains("\"code\":1003");
        assertThat(mFixture.chat(RouterFixture.chatBody("x".repeat(5_000))).statusCode())
                .isEqualTo(413);
        HttpResponse<String> unknown =
                mFixture.mHttp.send(
                        RouterFixture.getRequest(mFixture.uri("/nowhere")), RouterFixture.text());
        assertThat(unknown.body()).contains("\"code\":1004");
        String noKey = "GET /v1/models HTTP/1.1\r\nHost: x\r\n\r\n";
        assertThat(exchange(noKey, "\"code\":1002")).startsWith("HTTP/1.1 401");
        String longHeader = "GET / HTTP/1.1\r\nHost: x\r\nX: " + "y".repeat(3_000) + "\r\n\r\n";
        assertThat(exchange(longHeader, "\"code\":1006")).startsWith("HTTP/1.1 431");
    }

    private String exchange(String request, String until) throws Exception {
        try (Socket socket = mFixture.socket()) {
            socket.getOutputStream().write(request.getBytes(StandardCharsets.UTF_8));
            return readUntil(socket, until);
        }
    }

    private static String readUntil(Socket socket, String until) throws Exception {
        StringBuilder seen = new StringBuilder();
        byte[] buffer = new byte[4096];
        while (seen.indexOf(until) < 0) {
            int n = socket.getInputStream().read(buffer);
            if (n < 0) {
                break;
            }
            seen.append(new String(buffer, 0, n, StandardCharsets.UTF_8));
        }
        return seen.toString();
    }

    @Test
    void pipelinedRequestsAreAnsweredInOrder() throws Exception {
        mFixture.mSidecar.mScript =
                s -> {
                    String body = new String(s.mRequest.call().body(), StandardCharsets.UTF_8);
                    s.answer("text/plain", body.contains("first") ? "answer 1" : "answer 2");
                };

        String seen =
                exchange(RouterFixture.rawChat("first") + RouterFixture.rawChat("x"), "answer 2");

        assertThat(seen.indexOf("answer 1")).isBetween(0, seen.indexOf("answer 2"));
    }

    // Guards against a truncated answer that looks complete. The sidecar ends the answer before the
    // announced length, also after the router's resumption. The router closes the caller's
    // connection without the last chunk, by which the caller detects the truncation.
    @Test
    void truncatedAnswerIsNotCompleted() throws Exception {
        mFixture.mSidecar.mScript =
                s -> {
                    s.head("text/plain");
                    s.data("half an ");
                    s.end(14);
                };

        String seen = exchange(RouterFixture.rawChat("x"), "\r\n0\r\n\r\n");

        assertThat(seen).contains("half an ").doesNotContain("\r\n0\r\n\r\n");
    }

    // Guards against work for a caller that has disconnected. The caller closes its connection
    // while the engine computes. Nothing is written to the caller then, so the router notices it
    // only by reading, and has to cancel the attempt at the sidecar.
    @Test
    void attemptIsCancelledWhenTheCallerDisconnects() throws Exception {
        mFixture.mSidecar.mScript = s -> s.head("text/plain");
        try (Socket socket = mFixture.socket()) {
            socket.getOutputStream()
                    .write(RouterFixture.rawChat("x").getBytes(StandardCharsets.UTF_8));
            readUntil(socket, "200 OK");
        }

        assertThat(session().mCancelled.await(WAIT_TIMEOUT_SECONDS, TimeUnit.SECONDS)).isTrue();
    }

    // Guards against truncated answers when a router stops. The router is stopped in the middle of
    // an answer. It reports that it is not ready, so that load balancers send no more requests. The
    // caller gets the rest of the answer.
    @Test
    void stopWaitsForAnswersInFlight() throws Exception {
        CountDownLatch firstHalfSent = new CountDownLatch(1);
        mFixture.mSidecar.mScript =
                s -> {
                    s.head("text/plain");
                    s.data("half, ");
                    firstHalfSent.countDown();
                };
        CompletableFuture<HttpResponse<String>> answer =
                mFixture.mHttp.sendAsync(
                        mFixture.chatRequest(RouterFixture.chatBody("x")), RouterFixture.text());
        firstHalfSent.await(WAIT_TIMEOUT_SECONDS, TimeUnit.SECONDS);
        FakeSidecarServer.Session session = session();
        CompletableFuture<Void> stopped = CompletableFuture.runAsync(mFixture.mRouter::stop);
        int status = 200;
        while (status == 200) {
            status =
                    mFixture.mHttp
                            .send(
                                    RouterFixture.getRequest(mFixture.readinessUri()),
                                    RouterFixture.text())
                            .statusCode();
        }
        session.data("whole");
        session.end(11);

        assertThat(answer.get(WAIT_TIMEOUT_SECONDS, TimeUnit.SECONDS).body())
                .isEqualTo("half, whole");
        stopped.get(WAIT_TIMEOUT_SECONDS, TimeUnit.SECONDS);
    }

    // Guards against unbounded memory use for a caller that stops reading a long answer. Once the
    // stream's window is full, the router stops reading from the sidecar. When the caller reads
    // again, it gets the complete answer.
    @Test
    void slowReaderAppliesBackpressure() throws Exception {
        byte[] piece = new byte[16 << 10];
        Arrays.fill(piece, (byte) 'z');
        int pieces = 2_000;
        mFixture.mSidecar.mScript =
                s -> {
                    s.head("text/plain");
                    for (int i = 0; i < pieces; i++) {
                        s.data(piece);
                    }
                    s.end((long) pieces * piece.length);
                };
        long window = 32L * piece.length;
        try (Socket socket = mFixture.socket()) {
            socket.getOutputStream()
                    .write(RouterFixture.rawChat("x").getBytes(StandardCharsets.UTF_8));
            while (waitingBytes() < window) {
                Thread.onSpinWait();
            }
            for (int i = 0; i < 50; i++) {
                assertThat(waitingBytes()).isLessThanOrEqualTo(window);
            }
            assertThat(countUntilLastChunk(socket)).isEqualTo((long) pieces * piece.length);
        }
    }

    private long waitingBytes() throws Exception {
        String metrics =
                mFixture.mHttp
                        .send(RouterFixture.getRequest(mFixture.metricsUri()), RouterFixture.text())
                        .body();
        String name = "\nlaurelweir_router_answer_bytes_waiting ";
        int at = metrics.indexOf(name) + name.length();
        return Long.parseLong(metrics.substring(at, metrics.indexOf('\n', at)));
    }

    private static long countUntilLastChunk(Socket socket) throws Exception {
        long count = 0;
        byte[] buffer = new byte[1 << 16];
        String tail = "";
        while (!tail.endsWith("\r\n0\r\n\r\n")) {
            int n = socket.getInputStream().read(buffer);
            String text = new String(buffer, 0, n, StandardCharsets.ISO_8859_1);
            count += text.chars().filter(c -> c == 'z').count();
            String both = tail + text;
            tail = both.substring(Math.max(0, both.length() - 7));
        }
        return count;
    }
}
