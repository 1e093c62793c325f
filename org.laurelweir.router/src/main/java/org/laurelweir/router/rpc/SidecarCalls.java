package org.laurelweir.router.rpc;

import com.google.common.util.concurrent.FutureCallback;
import com.google.common.util.concurrent.Futures;
import com.google.common.util.concurrent.MoreExecutors;
import io.grpc.ManagedChannel;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.agrona.collections.Long2ObjectHashMap;
import org.laurelweir.attempt.AttemptFrame;
import org.laurelweir.attempt.Frame;
import org.laurelweir.routing.RouterEffect;
import org.laurelweir.routing.RouterEvent;
import org.laurelweir.runtime.rpc.Channels;
import org.laurelweir.wire.AttemptCodec;
import org.laurelweir.wire.IdCodec;
import org.laurelweir.wire.v1.AttemptMessage;
import org.laurelweir.wire.v1.Resume;
import org.laurelweir.wire.v1.RevokeReply;
import org.laurelweir.wire.v1.RevokeRequest;
import org.laurelweir.wire.v1.SidecarServiceGrpc;

/**
 * Calls sidecars: opens, resumes, cancels and revokes attempts. Only the decision loop's thread
 * calls it.
 */
public final class SidecarCalls {
    private final Channels mChannels;
    private final Duration mRevokeTimeout;
    private final Consumer<RouterEvent> mEvents;
    private final Long2ObjectHashMap<AttemptStream> mStreams = new Long2ObjectHashMap<>();

    /**
     * Creates the calls.
     *
     * @param channels connections to sidecars
     * @param revokeTimeout maximum wait for the answer to a revocation
     * @param events receives frames, ends of streams and answers to revocations, on any thread
     */
    public SidecarCalls(Channels channels, Duration revokeTimeout, Consumer<RouterEvent> events) {
        mChannels = channels;
        mRevokeTimeout = revokeTimeout;
        mEvents = events;
    }

    /** Opens a stream and starts an attempt on it. */
    public void begin(RouterEffect.BeginAttempt e) {
        AttemptMessage first =
                AttemptMessage.newBuilder().setBegin(AttemptCodec.toWire(e.request())).build();
        open(e.stream(), e.address(), first);
    }

    /** Opens a stream and resumes a running attempt's output on it. */
    public void resume(RouterEffect.ResumeAttempt e) {
        Resume resume =
                Resume.newBuilder()
                        .setAttempt(IdCodec.toWire(e.attempt()))
                        .setTarget(IdCodec.toWire(e.target()))
                        .setOffset(e.offset())
                        .build();
        AttemptMessage first = AttemptMessage.newBuilder().setResume(resume).build();
        open(e.stream(), e.address(), first);
    }

    private void open(long id, String address, AttemptMessage first) {
        AttemptStream stream = new AttemptStream(address, mChannels.get(address), new Listener(id));
        mStreams.put(id, stream);
        stream.open(first);
    }

    /** Passes on the offset up to which the caller has consumed the output. */
    public void acknowledge(RouterEffect.Acknowledge e) {
        AttemptStream stream = mStreams.get(e.stream());
        if (stream != null) {
            stream.acknowledge(e.offset());
        }
    }

    /** Cancels an attempt at its sidecar. */
    public void cancel(RouterEffect.CancelAttempt e) {
        AttemptStream stream = mStreams.remove(e.stream());
        if (stream != null) {
            stream.cancelAttempt();
        }
    }

    /**
     * Closes a stream without cancelling its attempt, and replaces its connection. New attempts and
     * the resumption or revocation that follows use a new connection. Other streams continue on the
     * old connection, which may be merely slow.
     */
    public void drop(RouterEffect.DropStream e) {
        AttemptStream stream = mStreams.remove(e.stream());
        if (stream != null) {
            mChannels.reconnect(stream.address(), stream.channel());
            stream.drop();
        }
    }

    /** Closes a stream if the event that was just handled is its last frame or its loss. */
    public void closeStreamAfter(RouterEvent event) {
        if (event instanceof RouterEvent.FrameArrived f && isLast(f.frame().frame())) {
            close(f.stream());
        } else if (event instanceof RouterEvent.StreamLost l) {
            close(l.stream());
        }
    }

    private static boolean isLast(Frame frame) {
        return frame instanceof Frame.End
                || frame instanceof Frame.Refused
                || frame instanceof Frame.Failed;
    }

    private void close(long id) {
        AttemptStream stream = mStreams.remove(id);
        if (stream != null) {
            stream.finish();
        }
    }

    /** Revokes an attempt: asks the sidecar never to start it. */
    public void revoke(RouterEffect.Revoke e) {
        ManagedChannel channel = mChannels.get(e.address());
        RevokeRequest request =
                RevokeRequest.newBuilder()
                        .setAttempt(IdCodec.toWire(e.attempt()))
                        .setTarget(IdCodec.toWire(e.target()))
                        .build();
        Futures.addCallback(
                SidecarServiceGrpc.newFutureStub(channel)
                        .withDeadlineAfter(mRevokeTimeout.toMillis(), TimeUnit.MILLISECONDS)
                        .revoke(request),
                new RevokeCallback(e, channel),
                MoreExecutors.directExecutor());
    }

    private final class RevokeCallback implements FutureCallback<RevokeReply> {
        private final RouterEffect.Revoke mRevoke;
        private final ManagedChannel mChannel;

        RevokeCallback(RouterEffect.Revoke revoke, ManagedChannel channel) {
            mRevoke = revoke;
            mChannel = channel;
        }

        @Override
        public void onSuccess(RevokeReply reply) {
            mEvents.accept(
                    new RouterEvent.RevokeAnswered(
                            mRevoke.caller(),
                            mRevoke.attempt(),
                            AttemptCodec.toCore(reply.getState())));
        }

        @Override
        public void onFailure(Throwable failure) {
            // Retry over a new connection, because this one did not respond.
            mChannels.reconnect(mRevoke.address(), mChannel);
            mEvents.accept(
                    new RouterEvent.RevokeFailed(
                            mRevoke.caller(), mRevoke.attempt(), failure.getMessage()));
        }
    }

    private final class Listener implements AttemptStream.StreamListener {
        private final long mStream;

        Listener(long stream) {
            mStream = stream;
        }

        @Override
        public void onFrame(AttemptFrame frame) {
            mEvents.accept(new RouterEvent.FrameArrived(mStream, frame));
        }

        @Override
        public void onClosed(boolean sent, String message) {
            mEvents.accept(new RouterEvent.StreamLost(mStream, sent, message));
        }
    }
}
