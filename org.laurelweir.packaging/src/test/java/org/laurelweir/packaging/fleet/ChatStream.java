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

/** A streamed chat answer as it arrives at its caller. */
public final class ChatStream {
    private static final String DATA = "data: ";
    private static final String DONE = "data: [DONE]";

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
        response.body().filter(l -> !l.isEmpty()).forEach(mLines::add);
        return response.statusCode();
    }

    /** Returns the digest by which the engine's record names the chat. */
    public String digest() {
        return mPrompt.digest();
    }

    /** Returns once part of the answer is there. */
    public ChatStream awaitBegin() {
        Await.until("the begin of an answer", () -> mLines.size() > 2 || mStatus.isDone());
        return this;
    }

    /** Returns whether the answer is still on its way. */
    public boolean isOpen() {
        return !mStatus.isDone();
    }

    /** Returns the HTTP status, once the whole answer is there. */
    public int status() {
        return Caller.get(mStatus);
    }

    /** Returns the result code's number of an answer that is an error. */
    public int code() {
        return new Caller.Reply(status(), text(), "").code();
    }

    /** Returns when to come back, as the answer says; empty if it does not. */
    public String retryAfter() {
        return Caller.get(mResponse).headers().firstValue("Retry-After").orElse("");
    }

    /** Hangs up before the answer has begun. */
    public void hangUp() {
        mResponse.cancel(true);
    }

    /** Returns the lines so far. */
    public String text() {
        return String.join("\n", mLines);
    }

    /** Waits for the end and returns what is wrong with the answer; nothing if whole and own. */
    public Optional<String> findFault() {
        int status = status();
        if (status != 200) {
            return Optional.of(status + " " + text());
        }
        if (mLines.indexOf(DONE) != mLines.size() - 1) {
            return Optional.of("does not end with, or goes on after, its end mark: " + text());
        }
        StringBuilder all = new StringBuilder();
        for (String line : mLines) {
            if (line.startsWith(DATA) && !line.equals(DONE)) {
                all.append(content(line.substring(DATA.length())));
            }
        }
        return Answer.findFault(mPrompt, all.toString());
    }

    private static String content(String json) {
        ChatAnswer chunk = Json.read(json.getBytes(StandardCharsets.UTF_8), ChatAnswer.class);
        StringBuilder all = new StringBuilder();
        chunk.choices().stream()
                .map(ChatAnswer.Choice::delta)
                .filter(d -> d != null && d.content() != null)
                .forEach(d -> all.append(d.content()));
        return all.toString();
    }
}
