package org.laurelweir.wire;

import com.google.protobuf.UnsafeByteOperations;
import java.time.Duration;
import org.laurelweir.attempt.Frame;
import org.laurelweir.lib.ResultCode;
import org.laurelweir.wire.v1.Accepted;
import org.laurelweir.wire.v1.AttemptFrame;
import org.laurelweir.wire.v1.Data;
import org.laurelweir.wire.v1.End;
import org.laurelweir.wire.v1.Failed;
import org.laurelweir.wire.v1.Head;
import org.laurelweir.wire.v1.Progress;
import org.laurelweir.wire.v1.Refused;

/**
 * Converts the kinds of frames. {@link AttemptCodec} converts the fields that all frames have in
 * common.
 */
final class FrameCodec {
    private FrameCodec() {}

    static void setFrame(Frame frame, AttemptFrame.Builder message) {
        if (frame instanceof Frame.Accepted f) {
            message.setAccepted(Accepted.newBuilder().setQueuePosition(f.queuePosition()));
        } else if (frame instanceof Frame.Head f) {
            message.setHead(headToWire(f));
        } else if (frame instanceof Frame.Data f) {
            message.setData(dataToWire(f));
        } else if (frame instanceof Frame.Progress f) {
            message.setProgress(Progress.newBuilder().setOffset(f.offset()));
        } else if (frame instanceof Frame.End f) {
            message.setEnd(endToWire(f));
        } else if (frame instanceof Frame.Refused f) {
            message.setRefused(refusedToWire(f));
        } else if (frame instanceof Frame.Failed f) {
            message.setFailed(failedToWire(f));
        }
    }

    static Frame frameToCore(AttemptFrame message) {
        return switch (message.getFrameCase()) {
            case ACCEPTED -> new Frame.Accepted(message.getAccepted().getQueuePosition());
            case HEAD -> headToCore(message.getHead());
            case DATA -> dataToCore(message.getData());
            case PROGRESS -> new Frame.Progress(message.getProgress().getOffset());
            case END -> endToCore(message.getEnd());
            case REFUSED -> refusedToCore(message.getRefused());
            case FAILED -> failedToCore(message.getFailed());
            default ->
                    throw new IllegalArgumentException(
                            "the message holds no frame that this version knows");
        };
    }

    private static Head headToWire(Frame.Head f) {
        return Head.newBuilder()
                .setStatus(f.status())
                .addAllHeaders(AttemptCodec.toWire(f.headers()))
                .build();
    }

    private static Frame headToCore(Head m) {
        return new Frame.Head(m.getStatus(), AttemptCodec.toCore(m.getHeadersList()));
    }

    private static Data dataToWire(Frame.Data f) {
        return Data.newBuilder()
                .setOffset(f.offset())
                .setBytes(UnsafeByteOperations.unsafeWrap(f.bytes()))
                .build();
    }

    private static Frame dataToCore(Data m) {
        return new Frame.Data(m.getOffset(), m.getBytes().toByteArray());
    }

    private static End endToWire(Frame.End f) {
        return End.newBuilder()
                .setLength(f.length())
                .setPromptTokens(f.usage().promptTokens())
                .setCachedTokens(f.usage().cachedTokens())
                .setCompletionTokens(f.usage().completionTokens())
                .build();
    }

    private static Frame endToCore(End m) {
        Frame.Usage usage =
                new Frame.Usage(m.getPromptTokens(), m.getCachedTokens(), m.getCompletionTokens());
        return new Frame.End(m.getLength(), usage);
    }

    private static Refused refusedToWire(Frame.Refused f) {
        return Refused.newBuilder()
                .setCode(f.code().number())
                .setMessage(f.message())
                .setRedirectTo(f.redirectTo())
                .setRetryAfterMillis(f.retryAfter().toMillis())
                .build();
    }

    private static Frame refusedToCore(Refused m) {
        return new Frame.Refused(
                ResultCode.of(m.getCode()),
                m.getMessage(),
                m.getRedirectTo(),
                Duration.ofMillis(m.getRetryAfterMillis()));
    }

    private static Failed failedToWire(Frame.Failed f) {
        return Failed.newBuilder().setCode(f.code().number()).setMessage(f.message()).build();
    }

    private static Frame failedToCore(Failed m) {
        return new Frame.Failed(ResultCode.of(m.getCode()), m.getMessage());
    }
}
