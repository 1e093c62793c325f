package org.laurelweir.sidecar;

import io.grpc.stub.StreamObserver;
import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.laurelweir.attempt.Frame;
import org.laurelweir.wire.AttemptCodec;
import org.laurelweir.wire.v1.AttemptFrame;

/** A router's end of one stream: collects frames in order. */
final class AttemptReader implements StreamObserver<AttemptFrame> {
    private static final long LONG_WAIT_SECONDS = 60;

    private final BlockingQueue<Frame> mFrames = new LinkedBlockingQueue<>();
    private final ByteArrayOutputStream mBody = new ByteArrayOutputStream();

    @Override
    public void onNext(AttemptFrame frame) {
        mFrames.add(AttemptCodec.toCore(frame).frame());
    }

    @Override
    public void onError(Throwable failure) {
        // The frames so far tell the test what it needs.
    }

    @Override
    public void onCompleted() {
        // The last frame has said so.
    }

    /**
     * Returns the first frame of a kind, after adding the data before it to the body. Another
     * closing frame ends the wait: nothing comes after it.
     */
    <T extends Frame> T await(Class<T> kind) throws InterruptedException {
        while (true) {
            Frame frame = mFrames.poll(LONG_WAIT_SECONDS, TimeUnit.SECONDS);
            if (frame == null) {
                throw new AssertionError("no " + kind.getSimpleName() + " came");
            }
            if (frame instanceof Frame.Data d) {
                mBody.writeBytes(d.bytes());
            }
            if (kind.isInstance(frame)) {
                return kind.cast(frame);
            }
            if (isClosing(frame)) {
                throw new AssertionError("no " + kind.getSimpleName() + " but " + frame);
            }
        }
    }

    private static boolean isClosing(Frame frame) {
        return frame instanceof Frame.End
                || frame instanceof Frame.Refused
                || frame instanceof Frame.Failed;
    }

    /** Returns the body so far. */
    String body() {
        return mBody.toString(StandardCharsets.UTF_8);
    }
}
