package org.laurelweir.control.rpc;

import io.grpc.stub.StreamObserver;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import java.util.function.Function;
import org.laurelweir.coordination.ControlEffect.Answer;

/** The calls that wait for an answer of the reducer. Thread-safe. */
public final class PendingCalls {
    private final AtomicLong mLastCall = new AtomicLong();
    private final Map<Long, Consumer<Answer>> mCalls = new ConcurrentHashMap<>();

    /**
     * Registers a call that this process makes itself.
     *
     * @param answer receives the answer, on the reducer's thread
     * @return the call's number
     */
    public long open(Consumer<Answer> answer) {
        long call = mLastCall.incrementAndGet();
        mCalls.put(call, answer);
        return call;
    }

    <R> long open(StreamObserver<R> out, Function<Answer, R> reply) {
        return open(answer -> send(out, reply.apply(answer)));
    }

    static <R> void send(StreamObserver<R> out, R reply) {
        out.onNext(reply);
        out.onCompleted();
    }

    /**
     * Answers a call. Does nothing if the call is not registered.
     *
     * @param answer the reducer's answer
     */
    public void answer(Answer answer) {
        Consumer<Answer> callback = mCalls.remove(answer.call());
        if (callback != null) {
            callback.accept(answer);
        }
    }

    /** Returns the number of calls that wait for an answer. */
    public int count() {
        return mCalls.size();
    }
}
