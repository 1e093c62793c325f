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

    /** The text of an answer and the tokens that it used. */
    private record ReceivedAnswer(String text, Usage usage) {}

    /**
     * Creates the player of a chat.
     *
     * @param header the header to send the chat's name in; null to send none
     */
    ChatPlayer(ChatScript script, String header, RouterCaller caller, Results results) {
        mScript = script;
        mHeader = header;
        mCaller = caller;
        mResults = results;
    }

    /** Plays the next turn; returns whether the chat has another one. */
    boolean playTurn() throws InterruptedException {
        ChatRequest request = mScript.nextRequest();
        mResults.countSent();
        Reply reply = mCaller.call(call(request));
        if (!reply.isOk()) {
            mResults.countFailed(reply.errorCode());
            return false;
        }
        Optional<ReceivedAnswer> answer = read(request, reply);
        if (answer.isEmpty()) {
            mResults.countFailed(NOT_WHOLE);
            return false;
        }
        return check(reply, answer.get());
    }

    private boolean check(Reply reply, ReceivedAnswer answer) {
        Optional<String> fault = Answer.findFault(mScript.prompt(), answer.text());
        if (fault.isPresent()) {
            mResults.countFailed(fault.get().replace(' ', '_'));
            return false;
        }
        mResults.countAnswered(reply);
        if (mScript.turn() > 1 && answer.usage() != null) {
            mResults.countReturningPrompt(
                    answer.usage().promptTokens(),
                    answer.usage().promptTokensDetails().cachedTokens());
        }
        mScript.addAnswer(answer.text());
        return mScript.hasMoreTurns();
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

    private static Optional<ReceivedAnswer> read(ChatRequest request, Reply reply) {
        try {
            return request.isStreamed() ? stream(reply.lines()) : whole(reply.lines());
        } catch (LaurelweirException e) {
            return Optional.empty();
        }
    }

    private static Optional<ReceivedAnswer> whole(AnswerLines lines) {
        byte[] body = lines.body().getBytes(StandardCharsets.UTF_8);
        ChatAnswer a = Json.read(body, ChatAnswer.class);
        if (a.choices() == null || a.choices().isEmpty() || a.choices().get(0).message() == null) {
            return Optional.empty();
        }
        return Optional.of(new ReceivedAnswer(a.choices().get(0).message().content(), a.usage()));
    }

    private static Optional<ReceivedAnswer> stream(AnswerLines lines) {
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
        return Optional.of(new ReceivedAnswer(text.toString(), usage));
    }
}
