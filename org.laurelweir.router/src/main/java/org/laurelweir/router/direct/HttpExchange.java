package org.laurelweir.router.direct;

import io.netty.buffer.ByteBufUtil;
import io.netty.channel.Channel;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpResponse;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;
import org.laurelweir.answer.BodyFraming;
import org.laurelweir.direct.AnswerMetadata;
import org.laurelweir.direct.DirectEffect;
import org.laurelweir.direct.DirectEvent;
import org.laurelweir.direct.DirectEvent.Failure;
import org.laurelweir.runtime.answer.AnswerFraming;

/**
 * One request to a backend server and its answer. Reports exactly one final event, or none if it is
 * cancelled.
 */
final class HttpExchange {
    /**
     * Number of received bytes that the decision loop has not processed yet, from which on no more
     * are read. A server may send faster than the loop takes.
     */
    private static final int MAX_UNPROCESSED_BYTES = 256 << 10;

    private final long mCall;
    private final String mRequestId;
    private final String mMethod;
    private final AnswerReader mReader;
    private final Consumer<DirectEvent> mEvents;
    private volatile Channel mChannel;
    private final AtomicInteger mUnprocessedBytes = new AtomicInteger();
    private boolean mIsPaused;
    private boolean mPossiblySent;
    private boolean mEnded;

    HttpExchange(DirectEffect.BeginCall call, AnswerReader reader, Consumer<DirectEvent> events) {
        // The body is not kept: the answer to a large request may take long.
        mCall = call.call();
        mRequestId = call.request().id();
        mMethod = call.request().call().method();
        mReader = reader;
        mEvents = events;
    }

    void onConnecting(Channel channel) {
        mChannel = channel;
    }

    /** From this call on the backend server may receive the request, even if the write fails. */
    void onSending(Channel channel) {
        mChannel = channel;
        mPossiblySent = true;
        updateReading();
    }

    boolean isEnded() {
        return mEnded;
    }

    /** Returns whether an answer names another request id. */
    boolean isForOtherRequest(HttpResponse response) {
        return mReader.isForOtherRequest(mRequestId, response);
    }

    /** Returns whether the caller gave the request an id. */
    boolean hasRequestId() {
        return !mRequestId.isEmpty();
    }

    /** Returns whether an answer names this request's id. */
    boolean isNamedIn(HttpResponse response) {
        return mReader.isNamedIn(mRequestId, response);
    }

    /** Reports the head of the answer, and returns what it says to the router. */
    AnswerMetadata onHead(HttpResponse response) {
        BodyFraming framing = AnswerFraming.of(mMethod, response);
        AnswerMetadata metadata = mReader.metadata(mRequestId, response, framing);
        if (!mEnded) {
            mEvents.accept(
                    new DirectEvent.HeadReceived(
                            mCall,
                            response.status().code(),
                            mReader.headers(response, framing),
                            metadata));
        }
        return metadata;
    }

    void onContent(HttpContent content) {
        if (!mEnded && content.content().isReadable()) {
            mUnprocessedBytes.addAndGet(content.content().readableBytes());
            updateReading();
            mEvents.accept(
                    new DirectEvent.DataReceived(mCall, ByteBufUtil.getBytes(content.content())));
        }
    }

    /** Stops reading the answer for a while, or reads on. */
    void setPaused(boolean paused) {
        mIsPaused = paused;
        updateReading();
    }

    /** Called on another thread when received bytes have been processed. */
    void onProcessed(int bytes) {
        int before = mUnprocessedBytes.getAndAdd(-bytes);
        boolean continues =
                before >= MAX_UNPROCESSED_BYTES && before - bytes < MAX_UNPROCESSED_BYTES;
        Channel channel = mChannel;
        if (continues && channel != null) {
            channel.eventLoop().execute(this::updateReading);
        }
    }

    private void updateReading() {
        if (mChannel != null && !mEnded) {
            boolean reads = !mIsPaused && mUnprocessedBytes.get() < MAX_UNPROCESSED_BYTES;
            mChannel.config().setAutoRead(reads);
        }
    }

    void finish() {
        if (!mEnded) {
            mEnded = true;
            mEvents.accept(new DirectEvent.Finished(mCall));
        }
    }

    /** Reports that the connection was lost. */
    void onConnectionLost(String message) {
        fail(mPossiblySent ? Failure.CONNECTION_LOST : Failure.NOT_SENT, message);
    }

    /** Reports that the received bytes are not a valid answer. */
    void abandon(String message) {
        fail(Failure.ABANDONED, message);
    }

    /** Reports that no connection could be opened. */
    void onConnectFailed(String message) {
        fail(Failure.NOT_SENT, message);
    }

    /** Reports that the request was not sent since the backend server is in backoff. */
    void withhold() {
        fail(Failure.WITHHELD, "the backend server asked for backoff before the request was sent");
    }

    private void fail(Failure failure, String message) {
        if (!mEnded) {
            mEnded = true;
            mEvents.accept(new DirectEvent.Failed(mCall, failure, message));
        }
    }

    /** Closes the connection, by which the backend server learns that the answer is not needed. */
    void cancel() {
        mEnded = true;
        if (mChannel != null) {
            mChannel.close();
        }
    }
}
