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

/** The open attempt streams between routers and this sidecar, by stream number. */
public final class AttemptStreams {
    private final Map<Long, ServerCallStreamObserver<AttemptFrame>> mStreams =
            new ConcurrentHashMap<>();
    private final AtomicLong mLastStream = new AtomicLong();
    private final Consumer<SidecarEvent> mEvents;

    /**
     * Creates an empty table.
     *
     * @param events receives the routers' messages and the ends of streams
     */
    public AttemptStreams(Consumer<SidecarEvent> events) {
        mEvents = events;
    }

    /** Adds a new stream and returns the observer of the router's messages. */
    StreamObserver<AttemptMessage> open(StreamObserver<AttemptFrame> frames) {
        long stream = mLastStream.incrementAndGet();
        ServerCallStreamObserver<AttemptFrame> out =
                (ServerCallStreamObserver<AttemptFrame>) frames;
        // Without a cancel handler, onNext() on a cancelled stream throws; with one, the frame is
        // dropped.
        out.setOnCancelHandler(() -> onClosed(stream));
        mStreams.put(stream, out);
        return new MessageReader(stream);
    }

    /** Sends a frame, or drops it if the stream is closed. Only for the decision loop's thread. */
    public void send(long stream, org.laurelweir.attempt.AttemptFrame frame) {
        ServerCallStreamObserver<AttemptFrame> out = mStreams.get(stream);
        if (out != null) {
            out.onNext(AttemptCodec.toWire(frame));
        }
    }

    /** Ends a stream. Only for the decision loop's thread. */
    public void close(long stream) {
        ServerCallStreamObserver<AttemptFrame> out = mStreams.remove(stream);
        if (out != null) {
            out.onCompleted();
        }
    }

    private void onClosed(long stream) {
        mEvents.accept(new SidecarEvent.StreamClosed(stream));
        mStreams.remove(stream);
    }

    private final class MessageReader implements StreamObserver<AttemptMessage> {
        private final long mStream;
        private org.laurelweir.lib.AttemptId mAttempt;

        MessageReader(long stream) {
            mStream = stream;
        }

        @Override
        public void onNext(AttemptMessage message) {
            switch (message.getMessageCase()) {
                case BEGIN, RESUME -> handleFirstMessage(message);
                case ACKNOWLEDGE -> acknowledge(message.getAcknowledge().getOffset());
                case CANCEL -> cancel();
                default -> {
                    // A message of a later version, unknown here: ignored.
                }
            }
        }

        private void handleFirstMessage(AttemptMessage message) {
            if (mAttempt != null) {
                // A stream carries one attempt; a second one is ignored.
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
            onClosed(mStream);
        }

        @Override
        public void onCompleted() {
            // The router sends no more but still reads: close() ends the stream after the last
            // frame.
        }
    }
}
