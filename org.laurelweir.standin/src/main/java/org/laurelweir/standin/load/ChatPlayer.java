package org.laurelweir.standin.load;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import org.laurelweir.errors.LaurelweirException;
import org.laurelweir.standin.Json;
import org.laurelweir.standin.chat.Answer;
import org.laurelweir.standin.chat.ChatAnswer;
import org.laurelweir.standin.chat.ChatAnswer.Choice;
import org.laurelweir.standin.chat.ChatAnswer.Usage;
import org.laurelweir.standin.chat.ChatRequest;

/** Plays the turns of one chat, one at a time, and checks each answer. */
final class ChatPlayer {
    private static final String PATH = "/v1/chat/completions";
    private static final String NOT_WHOLE = "answer_not_whole";

    private final ChatScript mScript;
    private final String mHeader;
    private final RouterCaller mCaller;
    private final Results mResults;

    /** The text of an answer and the tokens it took. */
    private record Heard(String text, Usage usage) {}

    /**
     * Creates the player of a chat.
     *
     * @param header the header that names the chat; null to send none
     */
    ChatPlayer(ChatScript script, String header, RouterCaller caller, Results results) {
        mScript = script;
        mHeader = header;
        mCaller = caller;
        mResults = results;
    }

    /** Plays the next turn; returns whether the chat goes on. */
    boolean play() throws InterruptedException {
        ChatRequest request = mScript.ask();
        mResults.sent();
        Reply reply = mCaller.call(call(request));
        if (!reply.isOk()) {
            mResults.failed(reply.errorCode());
            return false;
        }
        Optional<Heard> heard = read(request, reply);
        if (heard.isEmpty()) {
            mResults.failed(NOT_WHOLE);
            return false;
        }
        return check(reply, heard.get());
    }

    private boolean check(Reply reply, Heard heard) {
        Optional<String> fault = Answer.findFault(mScript.prompt(), heard.text());
        if (fault.isPresent()) {
            mResults.failed(fault.get().replace(' ', '_'));
            return false;
        }
        mResults.answered(reply);
        if (mScript.turn() > 1 && heard.usage() != null) {
            mResults.returned(
                    heard.usage().promptTokens(),
                    heard.usage().promptTokensDetails().cachedTokens());
        }
        mScript.hear(heard.text());
        return mScript.hasMore();
    }

    private RouterCaller.Call call(ChatRequest request) {
        List<String> headers = new ArrayList<>();
        headers.addAll(List.of("Authorization", "Bearer " + mScript.key()));
        headers.addAll(List.of("X-Request-Id", mScript.name() + "-" + mScript.turn()));
        if (mHeader != null) {
            headers.addAll(List.of(mHeader, mScript.name()));
        }
        return new RouterCaller.Call("POST", PATH, Json.write(request), headers);
    }

    private static Optional<Heard> read(ChatRequest request, Reply reply) {
        try {
            return request.isStreamed() ? stream(reply.lines()) : whole(reply.lines());
        } catch (LaurelweirException e) {
            return Optional.empty();
        }
    }

    private static Optional<Heard> whole(AnswerLines lines) {
        byte[] body = lines.body().getBytes(StandardCharsets.UTF_8);
        ChatAnswer a = Json.read(body, ChatAnswer.class);
        if (a.choices() == null || a.choices().isEmpty() || a.choices().get(0).message() == null) {
            return Optional.empty();
        }
        return Optional.of(new Heard(a.choices().get(0).message().content(), a.usage()));
    }

    private static Optional<Heard> stream(AnswerLines lines) {
        if (!lines.isDone()) {
            return Optional.empty();
        }
        StringBuilder text = new StringBuilder();
        Usage usage = null;
        for (ChatAnswer c : lines.chunks()) {
            usage = c.usage() == null ? usage : c.usage();
            c.choices().stream()
                    .map(Choice::delta)
                    .map(d -> d == null ? null : d.content())
                    .filter(Objects::nonNull)
                    .forEach(text::append);
        }
        return Optional.of(new Heard(text.toString(), usage));
    }
}
