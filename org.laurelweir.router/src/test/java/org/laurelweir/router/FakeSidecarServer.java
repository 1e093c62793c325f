package org.laurelweir.router;

import io.grpc.stub.StreamObserver;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import org.laurelweir.attempt.AttemptRequest;
import org.laurelweir.attempt.AttemptState;
import org.laurelweir.attempt.Frame;
import org.laurelweir.attempt.Header;
import org.laurelweir.attempt.LoadHint;
import org.laurelweir.lib.ResultCode;
import org.laurelweir.wire.AttemptCodec;
import org.laurelweir.wire.IdCodec;
import org.laurelweir.wire.v1.AttemptFrame;
import org.laurelweir.wire.v1.AttemptMessage;
import org.laurelweir.wire.v1.Resume;
import org.laurelweir.wire.v1.RevokeReply;
import org.laurelweir.wire.v1.RevokeRequest;
import org.laurelweir.wire.v1.SidecarServiceGrpc;

/** A sidecar whose answers are scripted by each test. */
final class FakeSidecarServer extends SidecarServiceGrpc.SidecarServiceImplBase {
    final BlockingQueue<Session> mScriptedSessions = new LinkedBlockingQueue<>();
    final Queue<Session> mStartedSessions = new ConcurrentLinkedQueue<>();
    volatile Script mScript = s -> s.answer("text/plain", "ok");

    volatile OnResume mOnResume = FakeSidecarServer::refuseToResume;

    /** The sidecar's reaction to a new attempt. */
    interface Script {
        void run(Session session);
    }

    /** The sidecar's reaction to the resumption of an attempt. */
    interface OnResume {
        void run(Resume resume, StreamObserver<AttemptFrame> frames);
    }

    /** One stream of an attempt. */
    static final class Session {
        final AttemptRequest mRequest;
        final CountDownLatch mCancelled = new CountDownLatch(1);
        private final StreamObserver<AttemptFrame> mFrames;
        private long mOffset;

        Session(AttemptRequest request, StreamObserver<AttemptFrame> frames) {
            mRequest = request;
            mFrames = frames;
        }

        /** Continues the attempt on another stream from a byte offset. */
        Session onStream(StreamObserver<AttemptFrame> frames, long offset) {
            Session s = new Session(mRequest, frames);
            s.mOffset = offset;
            return s;
        }

        void send(Frame frame) {
            org.laurelweir.attempt.AttemptFrame f =
                    new org.laurelweir.attempt.AttemptFrame(mRequest.id(), LoadHint.UNKNOWN, frame);
            mFrames.onNext(AttemptCodec.toWire(f));
        }

        void head(String contentType) {
            send(new Frame.Accepted(0));
            send(new Frame.Head(200, List.of(new Header("Content-Type", contentType))));
        }

        void data(String text) {
            data(text.getBytes(StandardCharsets.UTF_8));
        }

        void data(byte[] bytes) {
            send(new Frame.Data(mOffset, bytes));
            mOffset += bytes.length;
        }

        void end(long length) {
            send(new Frame.End(length, Frame.Usage.NONE));
        }

        void answer(String contentType, String text) {
            head(contentType);
            data(text);
            end(mOffset);
        }
    }

    @Override
    public StreamObserver<AttemptMessage> attempt(StreamObserver<AttemptFrame> frames) {
        return new StreamObserver<>() {
            private Session mSession;

            @Override
            public void onNext(AttemptMessage message) {
                if (message.hasBegin()) {
                    mSession = new Session(AttemptCodec.toCore(message.getBegin()), frames);
                    mStartedSessions.add(mSession);
                    mScript.run(mSession);
                    mScriptedSessions.add(mSession);
                } else if (message.hasResume()) {
                    mOnResume.run(message.getResume(), frames);
                } else if (message.hasCancel()) {
                    mSession.mCancelled.countDown();
                }
            }

            @Override
            public void onError(Throwable failure) {
                // The router closed the stream. A real sidecar would continue the attempt.
            }

            @Override
            public void onCompleted() {
                frames.onCompleted();
            }
        };
    }

    private static void refuseToResume(Resume resume, StreamObserver<AttemptFrame> frames) {
        Frame.Failed failed = new Frame.Failed(ResultCode.OUTPUT_NOT_KEPT, "gone");
        frames.onNext(
                AttemptCodec.toWire(
                        new org.laurelweir.attempt.AttemptFrame(
                                IdCodec.toCore(resume.getAttempt()), LoadHint.UNKNOWN, failed)));
    }

    @Override
    public void revoke(RevokeRequest request, StreamObserver<RevokeReply> reply) {
        reply.onNext(
                RevokeReply.newBuilder()
                        .setState(AttemptCodec.toWire(AttemptState.RUNNING))
                        .build());
        reply.onCompleted();
    }
}
