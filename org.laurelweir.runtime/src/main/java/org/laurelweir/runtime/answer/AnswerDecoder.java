package org.laurelweir.runtime.answer;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.ByteToMessageDecoder;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultLastHttpContent;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.LastHttpContent;
import java.util.List;
import java.util.function.Supplier;

/**
 * Decodes the answers of one connection, and refuses bytes that are no answer by the rules of HTTP.
 * A lenient decoder would turn them into a status, a field or a length that the server never sent.
 *
 * <p>Malformed bytes are reported once, by a last content with a failed decoder result. Whatever
 * follows them is dropped.
 */
final class AnswerDecoder extends ByteToMessageDecoder {
    private enum State {
        HEAD,
        LENGTH,
        CHUNKS,
        CONNECTION,
        MALFORMED
    }

    private final Supplier<String> mMethod;
    private State mState = State.HEAD;
    private AnswerHead mHead = new AnswerHead();
    private Chunks mChunks;
    private long mRemainingBytes;

    /** A head whose body has to be empty, until its end shows that it is. Otherwise null. */
    private HttpResponse mWithheldHead;

    /**
     * Whether bytes came after the last complete answer. They may have left the buffer: it gives
     * whole lines of a head away before the head is complete.
     */
    private boolean mIsWithinAnswer;

    /**
     * Creates a decoder.
     *
     * @param method tells the method of the request that is being answered
     */
    AnswerDecoder(Supplier<String> method) {
        mMethod = method;
    }

    /** Returns whether bytes have come after the last complete answer. */
    boolean hasPartialAnswer() {
        return mIsWithinAnswer || internalBuffer().isReadable();
    }

    @Override
    protected void decode(ChannelHandlerContext context, ByteBuf input, List<Object> out) {
        mIsWithinAnswer = true;
        try {
            decode(input, out);
        } catch (MalformedAnswerException e) {
            mState = State.MALFORMED;
            input.skipBytes(input.readableBytes());
            LastHttpContent end = new DefaultLastHttpContent();
            end.setDecoderResult(DecoderResult.failure(e));
            out.add(end);
        }
    }

    private void decode(ByteBuf input, List<Object> out) {
        switch (mState) {
            case HEAD -> decodeHead(input, out);
            case LENGTH -> decodeLength(input, out);
            case CHUNKS -> decodeChunks(input, out);
            case CONNECTION -> addContent(input.readRetainedSlice(input.readableBytes()), out);
            case MALFORMED -> input.skipBytes(input.readableBytes());
            default -> throw new IllegalStateException(mState.name());
        }
    }

    private void decodeHead(ByteBuf input, List<Object> out) {
        HttpResponse head = mHead.read(input);
        if (head == null) {
            return;
        }
        mHead = new AnswerHead();
        AnswerFraming.check(head);
        if (AnswerFraming.forbidsContent(head.status())) {
            mWithheldHead = head;
        } else {
            out.add(head);
        }
        beginBody(head, out);
    }

    private void beginBody(HttpResponse head, List<Object> out) {
        String method = mMethod.get();
        switch (AnswerFraming.of(method, head)) {
            case LENGTH -> {
                mState = State.LENGTH;
                mRemainingBytes = AnswerFraming.length(method, head);
                endBodyIfComplete(out);
            }
            case CHUNKS -> {
                mState = State.CHUNKS;
                mChunks = new Chunks();
            }
            default -> mState = State.CONNECTION;
        }
    }

    private void decodeLength(ByteBuf input, List<Object> out) {
        int length = (int) Math.min(mRemainingBytes, input.readableBytes());
        mRemainingBytes -= length;
        addContent(input.readRetainedSlice(length), out);
        endBodyIfComplete(out);
    }

    private void endBodyIfComplete(List<Object> out) {
        if (mRemainingBytes == 0) {
            endBody(out);
        }
    }

    private void decodeChunks(ByteBuf input, List<Object> out) {
        addContent(mChunks.read(input), out);
        if (mChunks.isComplete()) {
            endBody(out);
        }
    }

    private void addContent(ByteBuf content, List<Object> out) {
        if (content.isReadable() && mWithheldHead != null) {
            content.release();
            throw AnswerFraming.bodyForbidden();
        }
        if (content.isReadable()) {
            out.add(new DefaultHttpContent(content));
        }
    }

    private void endBody(List<Object> out) {
        if (mWithheldHead != null) {
            out.add(mWithheldHead);
            mWithheldHead = null;
        }
        out.add(LastHttpContent.EMPTY_LAST_CONTENT);
        mState = State.HEAD;
        mIsWithinAnswer = false;
    }

    @Override
    protected void decodeLast(ChannelHandlerContext context, ByteBuf input, List<Object> out)
            throws Exception {
        super.decodeLast(context, input, out);
        if (mState == State.CONNECTION) {
            endBody(out);
        }
    }
}
