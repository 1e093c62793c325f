package org.laurelweir.sidecar.rpc;

import io.grpc.stub.StreamObserver;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;

/**
 * The unary calls that wait for an answer of the decision loop, by call number.
 *
 * @param <T> the type of the reply
 */
final class PendingCalls<T> {
    private final Map<Long, StreamObserver<T>> mReplies = new ConcurrentHashMap<>();
    private final AtomicLong mLastCall = new AtomicLong();

    /** Adds a call and returns its number. */
    long add(StreamObserver<T> reply) {
        long call = mLastCall.incrementAndGet();
        mReplies.put(call, reply);
        return call;
    }

    /** Answers a call. Does nothing if the call was answered already. */
    void answer(long call, T message) {
        StreamObserver<T> reply = mReplies.remove(call);
        if (reply != null) {
            reply.onNext(message);
            reply.onCompleted();
        }
    }
}
