package org.laurelweir.sidecar.rpc;

import io.grpc.stub.ServerCallStreamObserver;
import io.grpc.stub.StreamObserver;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import org.laurelweir.admission.SidecarEvent;
import org.laurelweir.wire.AttemptCodec;
import org.laurelweir.wire.IdCodec;
import org.laurelweir.wire.v1.AttemptFrame;
import org.laurelweir.wire.v1.AttemptMessage;

/** The open streams of attempts, by number. */
public final class AttemptStreams {
    private final Map<Long, ServerCallStreamObserver<AttemptFrame>> mStreams =
            new ConcurrentHashMap<>();
    private final AtomicLong mCount = new AtomicLong();
    private final Consumer<SidecarEvent> mEvents;

    /**
     * Creates an empty table.
     *
     * @param events takes what routers say
     */
    public AttemptStreams(Consumer<SidecarEvent> events) {
        mEvents = events;
    }

    /** Takes a new stream and returns what reads it. */
    StreamObserver<AttemptMessage> open(StreamObserver<AttemptFrame> frames) {
        long stream = mCount.incrementAndGet();
        ServerCallStreamObserver<AttemptFrame> out =
                (ServerCallStreamObserver<AttemptFrame>) frames;
        // With a handler set, frames for a stream that is gone are dropped instead of thrown back.
        out.setOnCancelHandler(() -> closed(stream));
        mStreams.put(stream, out);
        return new Reader(stream);
    }

    /** Sends a frame; one for a stream that is gone is dropped. Decision loop's thread only. */
    public void send(long stream, org.laurelweir.attempt.AttemptFrame frame) {
        ServerCallStreamObserver<AttemptFrame> out = mStreams.get(stream);
        if (out != null) {
            out.onNext(AttemptCodec.toWire(frame));
        }
    }

    /** Ends a stream. Decision loop's thread only. */
    public void close(long stream) {
        ServerCallStreamObserver<AttemptFrame> out = mStreams.remove(stream);
        if (out != null) {
            out.onCompleted();
        }
    }

    private void closed(long stream) {
        mEvents.accept(new SidecarEvent.StreamClosed(stream));
        mStreams.remove(stream);
    }

    private final class Reader implements StreamObserver<AttemptMessage> {
        private final long mStream;
        private org.laurelweir.lib.AttemptId mAttempt;

        Reader(long stream) {
            mStream = stream;
        }

        @Override
        public void onNext(AttemptMessage message) {
            switch (message.getMessageCase()) {
                case BEGIN, RESUME -> first(message);
                case ACKNOWLEDGE -> acknowledge(message.getAcknowledge().getOffset());
                case CANCEL -> cancel();
                default -> {
                    // A later version's message: what it asks for is not done here.
                }
            }
        }

        private void first(AttemptMessage message) {
            if (mAttempt != null) {
                // A stream carries one attempt; what else it asks for is not done.
                return;
            }
            if (message.hasBegin()) {
                mAttempt = IdCodec.toCore(message.getBegin().getAttempt());
                mEvents.accept(
                        new SidecarEvent.AttemptRequested(
                                mStream, AttemptCodec.toCore(message.getBegin())));
                return;
            }
            mAttempt = IdCodec.toCore(message.getResume().getAttempt());
            mEvents.accept(
                    new SidecarEvent.AttemptResumed(
                            mStream,
                            mAttempt,
                            IdCodec.toCore(message.getResume().getTarget()),
                            message.getResume().getOffset()));
        }

        private void acknowledge(long offset) {
            if (mAttempt != null) {
                mEvents.accept(new SidecarEvent.OutputAcknowledged(mAttempt, offset));
            }
        }

        private void cancel() {
            if (mAttempt != null) {
                mEvents.accept(new SidecarEvent.AttemptCancelled(mAttempt));
            }
        }

        @Override
        public void onError(Throwable failure) {
            closed(mStream);
        }

        @Override
        public void onCompleted() {
            // The router has no more to say, but still reads: the stream ends with its last frame.
        }
    }
}
