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
 * One stream to a sidecar. It is read no faster than the caller takes the answer: of frames with
 * data at most a window's worth is on its way to the caller at any time.
 *
 * <p>The thread of the decision loop sends; frames arrive on event loops.
 */
final class AttemptStream implements ClientResponseObserver<AttemptMessage, AttemptFrame> {
    private static final int WINDOW_FRAMES = 32;

    /** Telling the sidecar of every token would double the messages for nothing. */
    private static final long ACKNOWLEDGE_BYTES = 16 << 10;

    private final StreamEvents mEvents;
    private final String mAddress;
    private final ManagedChannel mChannel;
    private final SentTracer mTracer = new SentTracer();
    private final Queue<Long> mUntakenEnds = new ArrayDeque<>();
    private ClientCallStreamObserver<AttemptMessage> mCall;
    private long mAcknowledged;

    /** Takes what happens on a stream; called on event loops. */
    interface StreamEvents {
        void onFrame(org.laurelweir.attempt.AttemptFrame frame);

        void onClosed(boolean sent, String message);
    }

    AttemptStream(String address, ManagedChannel channel, StreamEvents events) {
        mAddress = address;
        mChannel = channel;
        mEvents = events;
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
            // A kind of frame that a newer sidecar sends and this router can't need.
            mCall.request(1);
            return;
        }
        if (frame.frame() instanceof Frame.Data d) {
            synchronized (mUntakenEnds) {
                mUntakenEnds.add(d.offset() + d.bytes().length);
            }
        } else {
            mCall.request(1);
        }
        mEvents.onFrame(frame);
    }

    @Override
    public void onError(Throwable failure) {
        mEvents.onClosed(mTracer.isSent(), failure.getMessage());
    }

    @Override
    public void onCompleted() {
        mEvents.onClosed(true, "the sidecar ended the stream");
    }

    /** Notes what the caller has taken, which lets more frames in. */
    void acknowledge(long offset) {
        mCall.request(creditsBelow(offset));
        if (offset - mAcknowledged >= ACKNOWLEDGE_BYTES) {
            mAcknowledged = offset;
            mCall.onNext(
                    AttemptMessage.newBuilder()
                            .setAcknowledge(Acknowledge.newBuilder().setOffset(offset))
                            .build());
        }
    }

    private int creditsBelow(long offset) {
        int credits = 0;
        synchronized (mUntakenEnds) {
            while (!mUntakenEnds.isEmpty() && mUntakenEnds.peek() <= offset) {
                mUntakenEnds.remove();
                credits++;
            }
        }
        return credits;
    }

    /** Tells the sidecar that the answer is not wanted any more. */
    void cancelAttempt() {
        mCall.onNext(AttemptMessage.newBuilder().setCancel(Cancel.getDefaultInstance()).build());
        mCall.onCompleted();
    }

    /** Ends a stream whose last frame has arrived. */
    void finish() {
        mCall.onCompleted();
    }

    /** Leaves a stream whose attempt goes on. */
    void drop() {
        mCall.cancel("the connection is suspect", null);
    }
}
