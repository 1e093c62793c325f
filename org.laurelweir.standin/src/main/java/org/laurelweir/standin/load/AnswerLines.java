package org.laurelweir.standin.load;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Flow;
import org.laurelweir.errors.LaurelweirException;
import org.laurelweir.standin.Json;
import org.laurelweir.standin.chat.ChatAnswer;
import org.laurelweir.standin.chat.ChatAnswer.Choice;

/** Takes the lines of an answer as they come and notes when the first token was there. */
final class AnswerLines implements Flow.Subscriber<String> {
    private static final String DATA = "data: ";
    private static final String DONE = "[DONE]";

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

    /** Returns when the first token came, by the system's nanosecond counter; 0 if none came. */
    long firstTokenNanos() {
        return mFirstTokenNanos;
    }

    /** Returns all lines as one text. */
    String body() {
        return String.join("\n", mLines);
    }

    /** Returns whether the last event, and no other, says that the stream is done. */
    boolean isDone() {
        List<String> events = events();
        return events.indexOf(DONE) == events.size() - 1 && !events.isEmpty();
    }

    /** Returns the chunks of a streamed answer. */
    List<ChatAnswer> chunks() {
        return events().stream().filter(e -> !e.equals(DONE)).map(AnswerLines::chunk).toList();
    }

    private List<String> events() {
        return mLines.stream()
                .filter(l -> l.startsWith(DATA))
                .map(l -> l.substring(DATA.length()))
                .toList();
    }

    private static boolean hasText(String line) {
        if (!line.startsWith(DATA) || line.endsWith(DONE)) {
            return false;
        }
        try {
            return chunk(line.substring(DATA.length())).choices().stream()
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
