package org.laurelweir.packaging;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import dev.langchain4j.data.message.ChatMessage;
import dev.langchain4j.data.message.UserMessage;
import dev.langchain4j.exception.AuthenticationException;
import dev.langchain4j.model.chat.response.ChatResponse;
import dev.langchain4j.model.chat.response.StreamingChatResponseHandler;
import dev.langchain4j.model.openai.OpenAiChatModel;
import dev.langchain4j.model.openai.OpenAiStreamingChatModel;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.laurelweir.packaging.fleet.Caller;
import org.laurelweir.packaging.fleet.Fleet;

/**
 * Checks that an unmodified OpenAI client library (LangChain4j) works with a router; only its base
 * URL and key are set.
 */
class StockClientTest {
    private static final Duration TIMEOUT = Duration.ofMinutes(1);
    private static final String MARKER = "[[stock]]";
    private static final String PROMPT = "Plan three days from the quay. " + MARKER;

    private static Fleet sFleet;

    @BeforeAll
    static void start() {
        sFleet = Fleet.builder("stock").start();
        sFleet.startEngine("engine-1");
        sFleet.awaitReady();
    }

    @AfterAll
    static void stop() {
        sFleet.close();
    }

    @Test
    void plainCallIsAnswered() {
        ChatResponse answer = blockingModel(Caller.KEY).chat(userMessages());

        assertThat(answer.aiMessage().text()).contains(MARKER);
        assertThat(answer.tokenUsage().inputTokenCount()).isPositive();
    }

    @Test
    void streamedCallReturnsWholeAnswer() throws Exception {
        String whole = blockingModel(Caller.KEY).chat(userMessages()).aiMessage().text();
        StringBuilder parts = new StringBuilder();
        CompletableFuture<ChatResponse> end = new CompletableFuture<>();

        streamingModel().chat(userMessages(), new Collector(parts, end));
        ChatResponse answer = end.get(TIMEOUT.toSeconds(), TimeUnit.SECONDS);

        assertThat(parts).hasToString(whole);
        assertThat(answer.aiMessage().text()).isEqualTo(whole);
    }

    @Test
    void unknownKeyCausesAuthenticationException() {
        assertThatThrownBy(() -> blockingModel("nobody's key").chat(userMessages()))
                .isInstanceOf(AuthenticationException.class)
                .hasMessageContaining("1002");
    }

    private static List<ChatMessage> userMessages() {
        return List.of(UserMessage.from(PROMPT));
    }

    private static OpenAiChatModel blockingModel(String key) {
        return OpenAiChatModel.builder()
                .baseUrl(baseUrl())
                .apiKey(key)
                .modelName("seil")
                .timeout(TIMEOUT)
                .maxRetries(0)
                .build();
    }

    private static OpenAiStreamingChatModel streamingModel() {
        return OpenAiStreamingChatModel.builder()
                .baseUrl(baseUrl())
                .apiKey(Caller.KEY)
                .modelName("seil")
                .timeout(TIMEOUT)
                .build();
    }

    private static String baseUrl() {
        return "http://127.0.0.1:" + sFleet.process("router-1").port() + "/v1";
    }

    private record Collector(StringBuilder parts, CompletableFuture<ChatResponse> end)
            implements StreamingChatResponseHandler {
        @Override
        public void onPartialResponse(String part) {
            parts.append(part);
        }

        @Override
        public void onCompleteResponse(ChatResponse response) {
            end.complete(response);
        }

        @Override
        public void onError(Throwable error) {
            end.completeExceptionally(error);
        }
    }
}
