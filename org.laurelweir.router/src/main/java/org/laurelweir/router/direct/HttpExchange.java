package org.laurelweir.router.direct;

import io.netty.buffer.ByteBufUtil;
import io.netty.channel.Channel;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpResponse;
import java.util.function.Consumer;
import org.laurelweir.answer.BodyFraming;
import org.laurelweir.direct.AnswerMetadata;
import org.laurelweir.direct.DirectEffect;
import org.laurelweir.direct.DirectEvent;
import org.laurelweir.direct.DirectEvent.Failure;
import org.laurelweir.runtime.rpc.AnswerFraming;

/**
 * One request to a backend server and its answer. Reports exactly one final event, or none if it is
 * cancelled.
 */
final class HttpExchange {
    private final DirectEffect.BeginCall mCall;
    private final AnswerReader mReader;
    private final Consumer<DirectEvent> mEvents;
    private Channel mChannel;
    private boolean mPossiblySent;
    private boolean mEnded;

    HttpExchange(DirectEffect.BeginCall call, AnswerReader reader, Consumer<DirectEvent> events) {
        mCall = call;
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
    }

    boolean isEnded() {
        return mEnded;
    }

    /** Returns whether an answer names another request id. */
    boolean isForOtherRequest(HttpResponse response) {
        return mReader.isForOtherRequest(mCall.request().id(), response);
    }

    /** Reports the head of the answer, and returns what it says to the router. */
    AnswerMetadata onHead(HttpResponse response) {
        BodyFraming framing = AnswerFraming.of(mCall.request().call().method(), response);
        AnswerMetadata metadata = mReader.metadata(mCall.request().id(), response, framing);
        if (!mEnded) {
            mEvents.accept(
                    new DirectEvent.HeadReceived(
                            mCall.call(),
                            response.status().code(),
                            mReader.headers(response, framing),
                            metadata));
        }
        return metadata;
    }

    void onContent(HttpContent content) {
        if (!mEnded && content.content().isReadable()) {
            mEvents.accept(
                    new DirectEvent.DataReceived(
                            mCall.call(), ByteBufUtil.getBytes(content.content())));
        }
    }

    void finish() {
        if (!mEnded) {
            mEnded = true;
            mEvents.accept(new DirectEvent.Finished(mCall.call()));
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

    private void fail(Failure failure, String message) {
        if (!mEnded) {
            mEnded = true;
            mEvents.accept(new DirectEvent.Failed(mCall.call(), failure, message));
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
