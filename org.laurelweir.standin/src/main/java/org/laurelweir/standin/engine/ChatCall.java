package org.laurelweir.standin.engine;

import java.nio.charset.StandardCharsets;
import java.time.Instant;
import java.util.List;
import org.laurelweir.standin.Execution.Work;
import org.laurelweir.standin.Json;
import org.laurelweir.standin.chat.Answer;
import org.laurelweir.standin.chat.ChatAnswer;
import org.laurelweir.standin.chat.ChatAnswer.Choice;
import org.laurelweir.standin.chat.ChatAnswer.Text;
import org.laurelweir.standin.chat.ChatAnswer.Usage;
import org.laurelweir.standin.chat.ChatRequest;
import org.laurelweir.standin.http.HttpExchange;

/** One chat call. Writes the tokens of its answer to the connection that is attached to it. */
final class ChatCall {
    private static final int OK = 200;
    private static final String JSON = "application/json";
    private static final String EVENT_STREAM = "text/event-stream";
    private static final String ASSISTANT = "assistant";

    private final EngineRequest mRequest;
    private final ChatRequest mBody;
    private final Answer mAnswer;
    private final String mFinishReason;
    private final long mCreated;
    private HttpExchange mExchange;
    private int mOffset;
    private int mCachedTokens;
    private boolean mHeadSent;

    /**
     * Creates a call without a connection.
     *
     * @param finishReason the finish reason of the answer: stop or length
     */
    ChatCall(
            EngineRequest request,
            ChatRequest body,
            Answer answer,
            String finishReason,
            Instant now) {
        mRequest = request;
        mBody = body;
        mAnswer = answer;
        mFinishReason = finishReason;
        mCreated = now.getEpochSecond();
    }

    EngineRequest request() {
        return mRequest;
    }

    HttpExchange exchange() {
        return mExchange;
    }

    String model() {
        return mBody.model();
    }

    String digest() {
        return mAnswer.digest();
    }

    /**
     * Attaches a connection, which receives the tokens from an offset on. The connection attached
     * before is closed.
     */
    void attach(HttpExchange exchange, int offset) {
        HttpExchange old = mExchange;
        mExchange = exchange;
        mOffset = offset;
        mHeadSent = false;
        if (old != null) {
            old.abort();
        }
    }

    /** Records how much of the prompt was cached, and sends the head of a streamed answer. */
    void begin(int cachedTokens) {
        mCachedTokens = cachedTokens;
        sendHead();
    }

    /**
     * Sends tokens, from index {@code from} (inclusive) to {@code to} (exclusive), if the answer is
     * streamed.
     */
    void sendTokens(int from, int to) {
        if (!mBody.isStreamed()) {
            return;
        }
        sendHead();
        for (int i = from; i < to; i++) {
            sendChunk(new Text(null, mAnswer.token(i)), null);
        }
    }

    /** Ends the answer after its last token; an answer that is not streamed is sent now. */
    void finish() {
        if (!mBody.isStreamed()) {
            mExchange.respond(OK, wholeAnswer());
            return;
        }
        sendHead();
        sendChunk(new Text(null, null), mFinishReason);
        if (mBody.wantsUsage()) {
            send(chunk(List.of(), usage()));
        }
        mExchange.send("data: [DONE]\n\n");
        mExchange.finish();
    }

    /**
     * Closes the connection in the middle of the answer. Of an answer that is not streamed, half is
     * sent; of a stream that ends with its connection, half an event.
     */
    void cut() {
        if (mBody.isStreamed()) {
            if (mExchange.endsWithConnection()) {
                mExchange.send("data: {\"id\"");
            }
            mExchange.abort();
            return;
        }
        byte[] body = Json.write(wholeAnswer()).getBytes(StandardCharsets.UTF_8);
        mExchange.cut(OK, JSON, body, body.length / 2);
    }

    /**
     * Returns the tokens used so far.
     *
     * @param outputTokens the output tokens produced so far
     */
    Work work(int outputTokens) {
        return new Work(mRequest.blocks().promptTokens(), mCachedTokens, outputTokens);
    }

    private void sendHead() {
        if (mHeadSent || !mBody.isStreamed()) {
            return;
        }
        mHeadSent = true;
        mExchange.begin(EVENT_STREAM);
        if (mOffset == 0) {
            sendChunk(new Text(ASSISTANT, ""), null);
        }
    }

    private ChatAnswer wholeAnswer() {
        Text text = new Text(ASSISTANT, mAnswer.text(mOffset, mAnswer.tokens()));
        return new ChatAnswer(
                mRequest.id(),
                ChatAnswer.WHOLE,
                mCreated,
                mBody.model(),
                List.of(new Choice(0, text, null, mFinishReason)),
                usage());
    }

    private void sendChunk(Text delta, String finishReason) {
        send(chunk(List.of(new Choice(0, null, delta, finishReason)), null));
    }

    private ChatAnswer chunk(List<Choice> choices, Usage usage) {
        return new ChatAnswer(
                mRequest.id(), ChatAnswer.CHUNK, mCreated, mBody.model(), choices, usage);
    }

    private void send(ChatAnswer chunk) {
        mExchange.send("data: " + Json.write(chunk) + "\n\n");
    }

    private Usage usage() {
        return ChatAnswer.usage(mRequest.blocks().promptTokens(), mCachedTokens, mAnswer.tokens());
    }
}
