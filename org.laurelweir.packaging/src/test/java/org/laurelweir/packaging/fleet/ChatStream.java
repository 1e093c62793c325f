package org.laurelweir.packaging.fleet;

import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodyHandlers;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.stream.Stream;
import org.laurelweir.junit.Await;
import org.laurelweir.standin.Json;
import org.laurelweir.standin.chat.Answer;
import org.laurelweir.standin.chat.ChatAnswer;
import org.laurelweir.standin.chat.ChatMessage;
import org.laurelweir.standin.chat.Prompt;

/** A chat call whose answer is streamed; collects the lines of the answer as they arrive. */
public final class ChatStream {
    private static final String EVENT_PREFIX = "data: ";
    private static final String END_OF_STREAM = "data: [DONE]";

    private final Prompt mPrompt;
    private final List<String> mLines = new CopyOnWriteArrayList<>();
    private final CompletableFuture<HttpResponse<Stream<String>>> mResponse;
    private final CompletableFuture<Integer> mStatus;

    ChatStream(HttpClient client, HttpRequest request, List<ChatMessage> messages) {
        mPrompt = Prompt.of(messages);
        mResponse = client.sendAsync(request, BodyHandlers.ofLines());
        mStatus = mResponse.thenApplyAsync(this::read);
    }

    private int read(HttpResponse<Stream<String>> response) {
        response.body().filter(line -> !line.isEmpty()).forEach(mLines::add);
        return response.statusCode();
    }

    /**
     * Returns the digest of the prompt, which identifies the chat in the engine's execution log.
     */
    public String digest() {
        return mPrompt.digest();
    }

    /** Waits until the answer has text or has ended. */
    public ChatStream awaitFirstTokens() {
        Await.until("the first tokens of an answer", () -> mLines.size() > 2 || mStatus.isDone());
        return this;
    }

    /** Returns whether the answer has not ended yet. */
    public boolean isOpen() {
        return !mStatus.isDone();
    }

    /** Waits for the end of the answer and returns the HTTP status. */
    public int status() {
        return Caller.await(mStatus);
    }

    /**
     * Waits for the end of the answer and returns the number of the result code in an error body; 0
     * if the answer is no error.
     */
    public int code() {
        return new Caller.Reply(status(), text(), "").code();
    }

    /** Returns the value of the Retry-After header; empty if there is none. */
    public String retryAfter() {
        return Caller.await(mResponse).headers().firstValue("Retry-After").orElse("");
    }

    /** Closes the connection if the answer has not begun. */
    public void cancel() {
        mResponse.cancel(true);
    }

    /** Returns the lines received so far. */
    public String text() {
        return String.join("\n", mLines);
    }

    /**
     * Waits for the end of the answer and returns what is wrong with it; empty if it is the
     * complete answer to this chat.
     */
    public Optional<String> findFault() {
        int status = status();
        if (status != 200) {
            return Optional.of(status + " " + text());
        }
        if (mLines.indexOf(END_OF_STREAM) != mLines.size() - 1) {
            return Optional.of("[DONE] is missing or is not the last event: " + text());
        }
        StringBuilder text = new StringBuilder();
        for (String line : mLines) {
            if (line.startsWith(EVENT_PREFIX) && !line.equals(END_OF_STREAM)) {
                text.append(content(line.substring(EVENT_PREFIX.length())));
            }
        }
        return Answer.findFault(mPrompt, text.toString());
    }

    private static String content(String json) {
        ChatAnswer chunk = Json.read(json.getBytes(StandardCharsets.UTF_8), ChatAnswer.class);
        StringBuilder text = new StringBuilder();
        chunk.choices().stream()
                .map(ChatAnswer.Choice::delta)
                .filter(d -> d != null && d.content() != null)
                .forEach(d -> text.append(d.content()));
        return text.toString();
    }
}
