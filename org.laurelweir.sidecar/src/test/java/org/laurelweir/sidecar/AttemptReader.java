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

/** The router's end of an attempt stream: collects the frames in order. */
final class AttemptReader implements StreamObserver<AttemptFrame> {
    private static final long TIMEOUT_SECONDS = 60;

    private final BlockingQueue<Frame> mFrames = new LinkedBlockingQueue<>();
    private final ByteArrayOutputStream mBody = new ByteArrayOutputStream();

    @Override
    public void onNext(AttemptFrame frame) {
        mFrames.add(AttemptCodec.toCore(frame).frame());
    }

    @Override
    public void onError(Throwable failure) {
        // A test that waits for a frame fails by the timeout of await().
    }

    @Override
    public void onCompleted() {
        // The final frame marks the end already.
    }

    /**
     * Waits for the first frame of a type and returns it. Data frames before it are added to the
     * body. Fails on another final frame, because no frame follows a final one.
     */
    <T extends Frame> T await(Class<T> kind) throws InterruptedException {
        while (true) {
            Frame frame = mFrames.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS);
            if (frame == null) {
                throw new AssertionError("no " + kind.getSimpleName() + " frame received in time");
            }
            if (frame instanceof Frame.Data d) {
                mBody.writeBytes(d.bytes());
            }
            if (kind.isInstance(frame)) {
                return kind.cast(frame);
            }
            if (isFinal(frame)) {
                throw new AssertionError(
                        "expected a " + kind.getSimpleName() + " frame, received " + frame);
            }
        }
    }

    private static boolean isFinal(Frame frame) {
        return frame instanceof Frame.End
                || frame instanceof Frame.Refused
                || frame instanceof Frame.Failed;
    }

    /** Returns the body received so far. */
    String body() {
        return mBody.toString(StandardCharsets.UTF_8);
    }
}
