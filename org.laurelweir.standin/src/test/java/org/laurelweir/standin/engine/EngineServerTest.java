package org.laurelweir.standin.engine;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.net.Socket;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.InstantSource;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.laurelweir.standin.Execution.Outcome;
import org.laurelweir.standin.HttpCalls;
import org.laurelweir.standin.Json;
import org.laurelweir.standin.chat.Answer;
import org.laurelweir.standin.chat.ChatAnswer;
import org.laurelweir.standin.chat.ChatMessage;
import org.laurelweir.standin.chat.ChatRequest;
import org.laurelweir.standin.chat.ChatRequest.StreamOptions;
import org.laurelweir.standin.chat.Prompt;

/** Checks HTTP calls to an engine. */
@Timeout(120)
class EngineServerTest {
    private static final String CHAT = "/v1/chat/completions";
    private static final List<ChatMessage> MESSAGES =
            List.of(
                    ChatMessage.of("system", "You plan trips along the fjords. ".repeat(20)),
                    ChatMessage.of("user", "Which berth is free? [[m-7]]"));
    private static final Prompt PROMPT = Prompt.of(MESSAGES);

    private EngineServer mEngine;
    private HttpCalls mCalls;

    @BeforeEach
    void start() {
        mEngine = new EngineServer(settings(2000), InstantSource.system());
        mEngine.start();
        mCalls = new HttpCalls(mEngine.server().address());
    }

    @AfterEach
    void stop() {
        mEngine.stop();
    }

    @Test
    void secondCallReusesCachedPrompt() {
        ChatAnswer first = answer(mCalls.call("POST", CHAT, body(false)));
        ChatAnswer second = answer(mCalls.call("POST", CHAT, body(false)));

        String text = first.choices().get(0).message().content();
        assertThat(Answer.findFault(PROMPT, text)).isEmpty();
        assertThat(first.usage().promptTokensDetails().cachedTokens()).isZero();
        assertThat(second.usage().promptTokensDetails().cachedTokens()).isGreaterThan(100);
        assertThat(second.usage().completionTokens()).isEqualTo(40);
    }

    @Test
    void streamedAnswerEndsWithUsageAndDone() {
        HttpResponse<String> r = mCalls.call("POST", CHAT, body(true), "X-Request-Id", "q-1");

        assertThat(r.headers().firstValue("content-type")).contains("text/event-stream");
        assertThat(Answer.findFault(PROMPT, streamedText(r.body()))).isEmpty();
        assertThat(r.body()).contains("\"finish_reason\":\"stop\"").contains("\"usage\":{");
        assertThat(r.body()).endsWith("data: [DONE]\n\n");
        assertThat(mCalls.executions("/engine").executions())
                .singleElement()
                .satisfies(e -> assertThat(e.requestId()).isEqualTo("q-1"))
                .satisfies(e -> assertThat(e.outcome()).isEqualTo(Outcome.FINISHED))
                .satisfies(e -> assertThat(e.digest()).isEqualTo(PROMPT.digest()));
    }

    /**
     * The connection closes after some tokens, before the end of the answer. The caller resumes
     * with the engine's id and the number of tokens that it has. Both parts together must be the
     * answer that an uninterrupted call gets.
     */
    @Test
    void cutStreamResumesWithSameBytes() throws IOException {
        mCalls.call("POST", "/engine/faults", "{\"kind\":\"cut\",\"afterTokens\":9}");
        assertThatThrownBy(() -> mCalls.call("POST", CHAT, body(true)))
                .hasRootCauseInstanceOf(IOException.class);
        String id = mCalls.executions("/engine").executions().get(0).id();

        HttpResponse<String> rest =
                mCalls.call("POST", CHAT, "", "X-Engine-Request", id, "X-Resume-Offset", "9");

        String firstPart = Answer.of(PROMPT, 40).text(0, 9);
        assertThat(firstPart + streamedText(rest.body())).isEqualTo(Answer.of(PROMPT, 40).text());
        assertThat(mCalls.executions("/engine").executions())
                .extracting(e -> e.outcome())
                .containsExactly(Outcome.CUT, Outcome.FINISHED);
    }

    /** By HTTP such a stream is over when its connection is closed, also within an event. */
    @Test
    void streamWithoutChunksEndsWithItsConnection() {
        mCalls.call("POST", "/engine/faults", "{\"kind\":\"unframed\"}");
        mCalls.call("POST", "/engine/faults", "{\"kind\":\"unframed_cut\",\"afterTokens\":9}");

        HttpResponse<String> whole = mCalls.call("POST", CHAT, body(true));
        HttpResponse<String> cut = mCalls.call("POST", CHAT, body(true));
        assertThat(whole.headers().firstValue("transfer-encoding")).isEmpty();
        assertThat(whole.body()).endsWith("data: [DONE]\n\n");
        assertThat(cut.headers().firstValue("transfer-encoding")).isEmpty();
        assertThat(cut.body()).endsWith("data: {\"id\"");
    }

    /**
     * The caller closes its connection in the middle of a slow answer. The engine removes the
     * request from its batch and records it as cancelled, with fewer tokens than the call asked
     * for.
     */
    @Test
    void closedConnectionCancelsAndRecordsRun() throws IOException {
        EngineServer slow = new EngineServer(settings(2), InstantSource.system());
        slow.start();
        try (slow) {
            HttpCalls calls = new HttpCalls(slow.server().address());
            readUntilFirstToken(slow);
            while (outcome(calls) == Outcome.RUNNING) {
                Thread.onSpinWait();
            }
            assertThat(outcome(calls)).isEqualTo(Outcome.CANCELLED);
        }
    }

    @Test
    void orderWithOldFencingTokenIsRejected() {
        String load = "{\"kind\":\"load_model\",\"name\":\"big\",\"fence\":5}";
        String old = "{\"kind\":\"unload_model\",\"name\":\"big\",\"fence\":4}";

        assertThat(mCalls.call("POST", "/engine/orders", load).statusCode()).isEqualTo(200);
        assertThat(mCalls.call("POST", "/engine/orders", old).statusCode()).isEqualTo(409);
        assertThat(mCalls.call("GET", "/v1/models", "").body()).contains("\"id\":\"big\"");
    }

    @Test
    void invalidCallGetsErrorBody() {
        assertThat(mCalls.call("POST", CHAT, "{").statusCode()).isEqualTo(400);
        assertThat(mCalls.call("POST", CHAT, body(false), "X-Priority", "high").statusCode())
                .isEqualTo(400);
        HttpResponse<String> r = mCalls.call("POST", CHAT, body(false).replace("standin", "other"));
        assertThat(r.statusCode()).isEqualTo(404);
        assertThat(r.body()).contains("\"code\":\"unknown_model\"");
    }

    private static void readUntilFirstToken(EngineServer engine) throws IOException {
        byte[] body = body(true).getBytes(StandardCharsets.UTF_8);
        String head = "POST " + CHAT + " HTTP/1.1\r\nContent-Length: " + body.length + "\r\n\r\n";
        try (Socket s =
                new Socket(
                        engine.server().address().getAddress(),
                        engine.server().address().getPort())) {
            OutputStream out = s.getOutputStream();
            out.write(head.getBytes(StandardCharsets.US_ASCII));
            out.write(body);
            out.flush();
            BufferedReader in =
                    new BufferedReader(
                            new InputStreamReader(s.getInputStream(), StandardCharsets.UTF_8));
            String line = in.readLine();
            while (!line.contains("[[m-7]]")) {
                line = in.readLine();
            }
        }
    }

    private static Outcome outcome(HttpCalls calls) {
        return calls.executions("/engine").executions().get(0).outcome();
    }

    private static ChatAnswer answer(HttpResponse<String> r) {
        assertThat(r.statusCode()).isEqualTo(200);
        return Json.read(r.body().getBytes(StandardCharsets.UTF_8), ChatAnswer.class);
    }

    private static String streamedText(String events) {
        StringBuilder all = new StringBuilder();
        for (String line : events.split("\n\n")) {
            if (!line.endsWith("[DONE]")) {
                byte[] json = line.substring("data: ".length()).getBytes(StandardCharsets.UTF_8);
                for (ChatAnswer.Choice c : Json.read(json, ChatAnswer.class).choices()) {
                    all.append(c.delta().content() == null ? "" : c.delta().content());
                }
            }
        }
        return all.toString();
    }

    private static String body(boolean stream) {
        return Json.write(
                new ChatRequest(
                        "standin", MESSAGES, stream, new StreamOptions(true), null, null, null));
    }

    private static EngineSettings settings(int tokensPerSecond) {
        BatchSettings batch = BatchSettings.DEFAULT.withRates(tokensPerSecond, 8, 50_000);
        return EngineSettings.builder()
                .batch(batch)
                .answerTokens(40)
                .tick(Duration.ofMillis(2))
                .build();
    }
}
