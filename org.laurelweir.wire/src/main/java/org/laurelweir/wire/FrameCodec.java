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

/** Conversions of the kinds of frames; {@link AttemptCodec} adds what they have in common. */
final class FrameCodec {
    private FrameCodec() {}

    static void put(Frame frame, AttemptFrame.Builder message) {
        if (frame instanceof Frame.Accepted f) {
            message.setAccepted(Accepted.newBuilder().setQueuePosition(f.queuePosition()));
        } else if (frame instanceof Frame.Head f) {
            message.setHead(head(f));
        } else if (frame instanceof Frame.Data f) {
            message.setData(data(f));
        } else if (frame instanceof Frame.Progress f) {
            message.setProgress(Progress.newBuilder().setOffset(f.offset()));
        } else if (frame instanceof Frame.End f) {
            message.setEnd(end(f));
        } else if (frame instanceof Frame.Refused f) {
            message.setRefused(refused(f));
        } else if (frame instanceof Frame.Failed f) {
            message.setFailed(failed(f));
        }
    }

    static Frame frameOf(AttemptFrame message) {
        return switch (message.getFrameCase()) {
            case ACCEPTED -> new Frame.Accepted(message.getAccepted().getQueuePosition());
            case HEAD -> headOf(message.getHead());
            case DATA -> dataOf(message.getData());
            case PROGRESS -> new Frame.Progress(message.getProgress().getOffset());
            case END -> endOf(message.getEnd());
            case REFUSED -> refusedOf(message.getRefused());
            case FAILED -> failedOf(message.getFailed());
            default -> throw new IllegalArgumentException("a message without a known frame");
        };
    }

    private static Head head(Frame.Head f) {
        return Head.newBuilder()
                .setStatus(f.status())
                .addAllHeaders(AttemptCodec.toWire(f.headers()))
                .build();
    }

    private static Frame headOf(Head m) {
        return new Frame.Head(m.getStatus(), AttemptCodec.toCore(m.getHeadersList()));
    }

    private static Data data(Frame.Data f) {
        return Data.newBuilder()
                .setOffset(f.offset())
                .setBytes(UnsafeByteOperations.unsafeWrap(f.bytes()))
                .build();
    }

    private static Frame dataOf(Data m) {
        return new Frame.Data(m.getOffset(), m.getBytes().toByteArray());
    }

    private static End end(Frame.End f) {
        return End.newBuilder()
                .setLength(f.length())
                .setPromptTokens(f.usage().promptTokens())
                .setCachedTokens(f.usage().cachedTokens())
                .setCompletionTokens(f.usage().completionTokens())
                .build();
    }

    private static Frame endOf(End m) {
        Frame.Usage usage =
                new Frame.Usage(m.getPromptTokens(), m.getCachedTokens(), m.getCompletionTokens());
        return new Frame.End(m.getLength(), usage);
    }

    private static Refused refused(Frame.Refused f) {
        return Refused.newBuilder()
                .setCode(f.code().number())
                .setMessage(f.message())
                .setRedirectTo(f.redirectTo())
                .setRetryAfterMillis(f.retryAfter().toMillis())
                .build();
    }

    private static Frame refusedOf(Refused m) {
        return new Frame.Refused(
                ResultCode.of(m.getCode()),
                m.getMessage(),
                m.getRedirectTo(),
                Duration.ofMillis(m.getRetryAfterMillis()));
    }

    private static Failed failed(Frame.Failed f) {
        return Failed.newBuilder().setCode(f.code().number()).setMessage(f.message()).build();
    }

    private static Frame failedOf(Failed m) {
        return new Frame.Failed(ResultCode.of(m.getCode()), m.getMessage());
    }
}
