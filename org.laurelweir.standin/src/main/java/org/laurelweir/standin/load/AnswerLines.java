package org.laurelweir.standin.load;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Flow;
import org.laurelweir.errors.LaurelweirException;
import org.laurelweir.standin.Json;
import org.laurelweir.standin.chat.ChatAnswer;
import org.laurelweir.standin.chat.ChatAnswer.Choice;

/** Collects the lines of an answer as they arrive, and records when the first token arrived. */
final class AnswerLines implements Flow.Subscriber<String> {
    private static final String EVENT_PREFIX = "data: ";
    private static final String END_OF_STREAM = "[DONE]";

    private final List<String> mLines = new ArrayList<>();
    private long mFirstTokenNanos;

    @Override
    public void onSubscribe(Flow.Subscription subscription) {
        subscription.request(Long.MAX_VALUE);
    }

    @Override
    public void onNext(String line) {
        mLines.add(line);
        if (mFirstTokenNanos == 0 && hasText(line)) {
            mFirstTokenNanos = System.nanoTime();
        }
    }

    @Override
    public void onError(Throwable cause) {}

    @Override
    public void onComplete() {}

    /** Returns when the first token arrived, by {@link System#nanoTime}; 0 if none did. */
    long firstTokenNanos() {
        return mFirstTokenNanos;
    }

    /** Returns all lines, joined by line feeds. */
    String body() {
        return String.join("\n", mLines);
    }

    /** Returns whether the stream ends with its only {@code [DONE]} event. */
    boolean isDone() {
        List<String> events = events();
        return events.indexOf(END_OF_STREAM) == events.size() - 1 && !events.isEmpty();
    }

    /** Returns the chunks of a streamed answer. */
    List<ChatAnswer> chunks() {
        return events().stream()
                .filter(e -> !e.equals(END_OF_STREAM))
                .map(AnswerLines::chunk)
                .toList();
    }

    private List<String> events() {
        return mLines.stream()
                .filter(l -> l.startsWith(EVENT_PREFIX))
                .map(l -> l.substring(EVENT_PREFIX.length()))
                .toList();
    }

    private static boolean hasText(String line) {
        if (!line.startsWith(EVENT_PREFIX) || line.endsWith(END_OF_STREAM)) {
            return false;
        }
        try {
            return chunk(line.substring(EVENT_PREFIX.length())).choices().stream()
                    .map(Choice::delta)
                    .anyMatch(d -> d != null && d.content() != null && !d.content().isEmpty());
        } catch (LaurelweirException e) {
            return false;
        }
    }

    private static ChatAnswer chunk(String json) {
        return Json.read(json.getBytes(StandardCharsets.UTF_8), ChatAnswer.class);
    }
}
