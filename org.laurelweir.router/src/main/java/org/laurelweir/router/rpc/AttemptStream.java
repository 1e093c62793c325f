package org.laurelweir.router.rpc;

import io.grpc.CallOptions;
import io.grpc.ManagedChannel;
import io.grpc.stub.ClientCallStreamObserver;
import io.grpc.stub.ClientCalls;
import io.grpc.stub.ClientResponseObserver;
import java.util.ArrayDeque;
import java.util.Queue;
import org.laurelweir.attempt.Frame;
import org.laurelweir.wire.AttemptCodec;
import org.laurelweir.wire.v1.Acknowledge;
import org.laurelweir.wire.v1.AttemptFrame;
import org.laurelweir.wire.v1.AttemptMessage;
import org.laurelweir.wire.v1.Cancel;
import org.laurelweir.wire.v1.SidecarServiceGrpc;

/**
 * One stream to a sidecar. It applies backpressure: at most a window of data frames is received but
 * not yet consumed by the caller.
 *
 * <p>The decision loop's thread sends messages. Frames arrive on event loops.
 */
final class AttemptStream implements ClientResponseObserver<AttemptMessage, AttemptFrame> {
    private static final int WINDOW_FRAMES = 32;

    /** Acknowledging every token to the sidecar would double the number of messages. */
    private static final long ACKNOWLEDGE_INTERVAL_BYTES = 16 << 10;

    private final StreamListener mListener;
    private final String mAddress;
    private final ManagedChannel mChannel;
    private final SentTracer mTracer = new SentTracer();
    private final Queue<Long> mUnconsumedEnds = new ArrayDeque<>();
    private ClientCallStreamObserver<AttemptMessage> mCall;
    private long mAcknowledgedOffset;

    /** Receives the frames and the end of a stream. Called on event loops. */
    interface StreamListener {
        void onFrame(org.laurelweir.attempt.AttemptFrame frame);

        void onClosed(boolean sent, String message);
    }

    AttemptStream(String address, ManagedChannel channel, StreamListener listener) {
        mAddress = address;
        mChannel = channel;
        mListener = listener;
    }

    String address() {
        return mAddress;
    }

    ManagedChannel channel() {
        return mChannel;
    }

    void open(AttemptMessage first) {
        CallOptions options = CallOptions.DEFAULT.withStreamTracerFactory(mTracer.factory());
        ClientCalls.asyncBidiStreamingCall(
                mChannel.newCall(SidecarServiceGrpc.getAttemptMethod(), options), this);
        mCall.onNext(first);
    }

    @Override
    public void beforeStart(ClientCallStreamObserver<AttemptMessage> call) {
        mCall = call;
        call.disableAutoRequestWithInitial(WINDOW_FRAMES);
    }

    @Override
    public void onNext(AttemptFrame message) {
        org.laurelweir.attempt.AttemptFrame frame;
        try {
            frame = AttemptCodec.toCore(message);
        } catch (IllegalArgumentException e) {
            // A kind of frame that only newer sidecars send and that this router does not need.
            mCall.request(1);
            return;
        }
        if (frame.frame() instanceof Frame.Data d) {
            synchronized (mUnconsumedEnds) {
                mUnconsumedEnds.add(d.offset() + d.bytes().length);
            }
        } else {
            mCall.request(1);
        }
        mListener.onFrame(frame);
    }

    @Override
    public void onError(Throwable failure) {
        mListener.onClosed(mTracer.isSent(), failure.getMessage());
    }

    @Override
    public void onCompleted() {
        mListener.onClosed(true, "the sidecar ended the stream");
    }

    /** Notes that the caller has consumed the output up to an offset, and requests more frames. */
    void acknowledge(long offset) {
        mCall.request(releaseCredits(offset));
        if (offset - mAcknowledgedOffset >= ACKNOWLEDGE_INTERVAL_BYTES) {
            mAcknowledgedOffset = offset;
            mCall.onNext(
                    AttemptMessage.newBuilder()
                            .setAcknowledge(Acknowledge.newBuilder().setOffset(offset))
                            .build());
        }
    }

    private int releaseCredits(long offset) {
        int credits = 0;
        synchronized (mUnconsumedEnds) {
            while (!mUnconsumedEnds.isEmpty() && mUnconsumedEnds.peek() <= offset) {
                mUnconsumedEnds.remove();
                credits++;
            }
        }
        return credits;
    }

    /** Cancels the attempt at the sidecar. */
    void cancelAttempt() {
        mCall.onNext(AttemptMessage.newBuilder().setCancel(Cancel.getDefaultInstance()).build());
        mCall.onCompleted();
    }

    /** Completes a stream whose last frame has arrived. */
    void finish() {
        mCall.onCompleted();
    }

    /** Closes the stream without cancelling its attempt. */
    void drop() {
        mCall.cancel("the connection is suspect", null);
    }
}
