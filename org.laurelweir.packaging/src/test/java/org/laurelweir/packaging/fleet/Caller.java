package org.laurelweir.packaging.fleet;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpRequest.BodyPublishers;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodyHandlers;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.laurelweir.standin.Json;
import org.laurelweir.standin.chat.ChatMessage;

/** Sends HTTP calls to a fleet, each on a new connection and without retries. */
public final class Caller {
    /** The bearer key of the fleet's only client account. */
    public static final String KEY = "proof-key";

    private static final JsonMapper MAPPER = new JsonMapper();
    private static final long TIMEOUT_SECONDS = 120;

    private Caller() {}

    /**
     * A complete HTTP answer.
     *
     * @param retryAfter the value of the Retry-After header; empty if there is none
     */
    public record Reply(int status, String body, String retryAfter) {
        /** Returns the number of the result code in an error body; 0 if the body is no error. */
        public int code() {
            return json().path("error").path("code").asInt(0);
        }

        /** Returns the body, parsed as JSON. */
        public JsonNode json() {
            try {
                return MAPPER.readTree(body);
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
        }
    }

    /** Sends a call to a port of the loopback address and returns its future answer. */
    public static CompletableFuture<Reply> send(
            int port, String method, String path, String body, Map<String, String> headers) {
        return client().sendAsync(
                        request(port, method, path, body, headers), BodyHandlers.ofString())
                .thenApply(Caller::reply);
    }

    /** Sends an order to the plain service, which must not run twice, with an idempotency key. */
    public static CompletableFuture<Reply> order(FleetProcess router, String key) {
        return send(
                router.port(),
                "POST",
                "/havnebok/provisioning",
                "stores " + key,
                Map.of("Idempotency-Key", key));
    }

    /** Sends a chat whose answer is streamed. */
    public static ChatStream chat(FleetProcess router, String marker) {
        return chat(router, marker, Map.of(), Map.of());
    }

    /**
     * Sends a chat whose answer is streamed, with additional fields in its JSON body and additional
     * headers.
     */
    public static ChatStream chat(
            FleetProcess router,
            String marker,
            Map<String, Object> fields,
            Map<String, String> headers) {
        List<ChatMessage> messages =
                List.of(ChatMessage.of("user", "Which berth? [[" + marker + "]]"));
        Map<String, Object> body = new HashMap<>(fields);
        body.putAll(Map.of("model", "seil", "stream", true, "messages", messages));
        HttpRequest request =
                request(router.port(), "POST", "/v1/chat/completions", Json.write(body), headers);
        return new ChatStream(client(), request, messages);
    }

    /**
     * Waits for a result and returns it.
     *
     * @throws CompletionException with the cause, if the result is a failure
     * @throws AssertionError if there is no result after 120 s
     */
    public static <T> T await(CompletableFuture<T> future) {
        try {
            return future.get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
        } catch (ExecutionException e) {
            throw new CompletionException(e.getCause());
        } catch (InterruptedException | TimeoutException e) {
            throw new AssertionError("no answer before the timeout", e);
        }
    }

    private static HttpClient client() {
        return HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
    }

    private static HttpRequest request(
            int port, String method, String path, String body, Map<String, String> headers) {
        URI uri = URI.create("http://127.0.0.1:" + port + path);
        HttpRequest.Builder builder =
                HttpRequest.newBuilder(uri).header("Authorization", "Bearer " + KEY);
        headers.forEach(builder::header);
        return builder.method(method, BodyPublishers.ofString(body)).build();
    }

    private static Reply reply(HttpResponse<String> r) {
        return new Reply(
                r.statusCode(), r.body(), r.headers().firstValue("Retry-After").orElse(""));
    }
}
