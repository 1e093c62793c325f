package org.laurelweir.router.direct;

import io.netty.buffer.ByteBufUtil;
import io.netty.channel.Channel;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpResponse;
import java.util.function.Consumer;
import org.laurelweir.direct.AnswerMetadata;
import org.laurelweir.direct.DirectEffect;
import org.laurelweir.direct.DirectEvent;
import org.laurelweir.direct.DirectEvent.Failure;

/** One request and its answer. Reports exactly one end, unless it is cancelled. */
final class Exchange {
    private final DirectEffect.BeginCall mCall;
    private final AnswerReader mReader;
    private final Consumer<DirectEvent> mEvents;
    private Channel mChannel;
    private boolean mSent;
    private boolean mOver;

    Exchange(DirectEffect.BeginCall call, AnswerReader reader, Consumer<DirectEvent> events) {
        mCall = call;
        mReader = reader;
        mEvents = events;
    }

    void connecting(Channel channel) {
        mChannel = channel;
    }

    /** From here on the backend server may get the request, whatever becomes of the write. */
    void sending(Channel channel) {
        mChannel = channel;
        mSent = true;
    }

    boolean isOver() {
        return mOver;
    }

    /** Returns whether an answer bears the name of another request. */
    boolean isOfAnother(HttpResponse response) {
        return mReader.isOfAnother(mCall.request().id(), response);
    }

    /** Returns whether the answer is one to this request, as far as its head tells. */
    boolean answered(HttpResponse response) {
        AnswerMetadata facts = mReader.facts(mCall.request().id(), response);
        if (!mOver) {
            mEvents.accept(
                    new DirectEvent.HeadReceived(
                            mCall.call(),
                            response.status().code(),
                            mReader.headers(response),
                            facts));
        }
        return facts.genuine();
    }

    void received(HttpContent content) {
        if (!mOver && content.content().isReadable()) {
            mEvents.accept(
                    new DirectEvent.DataReceived(
                            mCall.call(), ByteBufUtil.getBytes(content.content())));
        }
    }

    void finish() {
        if (!mOver) {
            mOver = true;
            mEvents.accept(new DirectEvent.Finished(mCall.call()));
        }
    }

    /** The backend server's side ended the connection. */
    void lost(String message) {
        fail(mSent ? Failure.CONNECTION_LOST : Failure.NOT_SENT, message);
    }

    /** What came is no answer. */
    void abandon(String message) {
        fail(Failure.ABANDONED, message);
    }

    /** No connection was had. */
    void unreachable(String message) {
        fail(Failure.NOT_SENT, message);
    }

    private void fail(Failure failure, String message) {
        if (!mOver) {
            mOver = true;
            mEvents.accept(new DirectEvent.Failed(mCall.call(), failure, message));
        }
    }

    /** Closes the connection, from which the backend server sees that nobody waits. */
    void cancel() {
        mOver = true;
        if (mChannel != null) {
            mChannel.close();
        }
    }
}
