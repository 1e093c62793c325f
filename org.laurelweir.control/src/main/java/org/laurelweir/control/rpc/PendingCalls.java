package org.laurelweir.control.rpc;

import io.grpc.stub.StreamObserver;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import java.util.function.Function;
import org.laurelweir.coordination.ControlEffect.Answer;

/** Calls that wait for the reducer's answer. Thread-safe. */
public final class PendingCalls {
    private final AtomicLong mLast = new AtomicLong();
    private final Map<Long, Consumer<Answer>> mCalls = new ConcurrentHashMap<>();

    /**
     * Opens a call of the process's own.
     *
     * @param answer takes the answer, on the reducer's thread
     * @return the call's number
     */
    public long open(Consumer<Answer> answer) {
        long call = mLast.incrementAndGet();
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
     * Answers a call; one that is not open is left alone.
     *
     * @param answer as the reducer gave it
     */
    public void answer(Answer answer) {
        Consumer<Answer> taker = mCalls.remove(answer.call());
        if (taker != null) {
            taker.accept(answer);
        }
    }

    /** Returns how many calls wait. */
    public int count() {
        return mCalls.size();
    }
}
