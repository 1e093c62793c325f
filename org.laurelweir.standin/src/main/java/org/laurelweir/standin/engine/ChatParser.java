package org.laurelweir.standin.engine;

import java.time.Instant;
import java.util.List;
import org.laurelweir.errors.LaurelweirException;
import org.laurelweir.lib.ResultCode;
import org.laurelweir.standin.Json;
import org.laurelweir.standin.chat.Answer;
import org.laurelweir.standin.chat.ChatRequest;
import org.laurelweir.standin.chat.Prompt;
import org.laurelweir.standin.http.HttpExchange;

/** Parses the body and headers of a chat-completions call. */
final class ChatParser {
    /** Headers that set the priority. Routers pass the second one through as callers send it. */
    private static final List<String> PRIORITY_HEADERS = List.of("Priority", "X-Priority");

    private final String mIdPrefix;
    private final int mAnswerTokens;
    private long mCount;

    /**
     * Creates a parser.
     *
     * @param idPrefix the prefix of each engine-side id; differs from that of earlier runs of the
     *     program
     * @param answerTokens the tokens of an answer, unless the call sets a lower limit
     */
    ChatParser(String idPrefix, int answerTokens) {
        mIdPrefix = idPrefix;
        mAnswerTokens = answerTokens;
    }

    /**
     * Parses a call.
     *
     * @throws LaurelweirException with {@code BAD_REQUEST} if a field is missing or invalid
     */
    ChatCall parse(Instant now, HttpExchange exchange) {
        ChatRequest body = Json.read(exchange.body(), ChatRequest.class);
        if (body.model() == null || body.messages() == null || body.messages().isEmpty()) {
            throw new LaurelweirException(ResultCode.BAD_REQUEST, "model or messages are missing");
        }
        Integer limit = body.outputLimit();
        if (limit != null && limit < 1) {
            throw new LaurelweirException(ResultCode.BAD_REQUEST, "max_tokens is below 1");
        }
        Prompt prompt = Prompt.of(body.messages());
        boolean limited = limit != null && limit < mAnswerTokens;
        Answer answer = Answer.of(prompt, limited ? limit : mAnswerTokens);
        mCount++;
        EngineRequest request =
                new EngineRequest(
                        mIdPrefix + mCount,
                        PromptBlocks.of(body.model(), prompt, answer.text()),
                        answer.tokens(),
                        priority(exchange, body));
        return new ChatCall(request, body, answer, limited ? "length" : "stop", now);
    }

    private static int priority(HttpExchange exchange, ChatRequest body) {
        if (body.priority() != null) {
            return body.priority();
        }
        String header =
                PRIORITY_HEADERS.stream()
                        .flatMap(name -> exchange.header(name).stream())
                        .findFirst()
                        .orElse("0");
        try {
            return Integer.parseInt(header);
        } catch (NumberFormatException e) {
            throw new LaurelweirException(
                    ResultCode.BAD_REQUEST, "priority is not a whole number: " + header, e);
        }
    }
}
