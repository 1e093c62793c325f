package org.laurelweir.sidecar.rpc;

import io.grpc.stub.StreamObserver;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Single calls that wait for a decision, by number.
 *
 * @param <T> the reply
 */
final class PendingCalls<T> {
    private final Map<Long, StreamObserver<T>> mReplies = new ConcurrentHashMap<>();
    private final AtomicLong mCount = new AtomicLong();

    /** Notes a call and returns its number. */
    long add(StreamObserver<T> reply) {
        long call = mCount.incrementAndGet();
        mReplies.put(call, reply);
        return call;
    }

    /** Answers a call; nothing happens where it was answered. */
    void answer(long call, T message) {
        StreamObserver<T> reply = mReplies.remove(call);
        if (reply != null) {
            reply.onNext(message);
            reply.onCompleted();
        }
    }
}
