package org.laurelweir.router.rpc;

import com.google.common.util.concurrent.FutureCallback;
import com.google.common.util.concurrent.Futures;
import com.google.common.util.concurrent.ListenableFuture;
import com.google.common.util.concurrent.MoreExecutors;
import io.grpc.ManagedChannel;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Function;
import org.laurelweir.runtime.rpc.Channels;
import org.laurelweir.wire.v1.ControlServiceGrpc;
import org.laurelweir.wire.v1.ControlServiceGrpc.ControlServiceFutureStub;

/**
 * Finds the control leader for a call: the last one known, else any instance, which names it. Calls
 * are such that asking twice does no harm. Thread-safe.
 */
final class ControlLeader {
    /** Enough to pass a lost leader, learn of the next one and reach it. */
    private static final int MAX_TRIES = 4;

    private final Channels mChannels;
    private final Duration mTimeout;
    private volatile List<String> mAddresses;
    private volatile String mLeader;

    /**
     * Creates a finder.
     *
     * @param addresses control instances, host:port; at least one
     * @param timeout longest wait for one instance's answer
     */
    ControlLeader(Channels channels, List<String> addresses, Duration timeout) {
        mChannels = channels;
        mAddresses = List.copyOf(addresses);
        mLeader = addresses.get(0);
        mTimeout = timeout;
    }

    /** Takes the instances that control itself names. */
    void useAddresses(List<String> addresses) {
        if (!addresses.isEmpty()) {
            mAddresses = List.copyOf(addresses);
        }
    }

    /**
     * What to ask and how to read the answer.
     *
     * @param send asks one instance
     * @param isNotLeader whether an answer only points to the leader
     * @param leaderOf the leader that an answer names, or empty
     */
    record Question<R>(
            Function<ControlServiceFutureStub, ListenableFuture<R>> send,
            Function<R, Boolean> isNotLeader,
            Function<R, String> leaderOf) {}

    /**
     * Asks the leader.
     *
     * @param onReply takes its answer
     * @param onFailure called where no leader answered
     */
    <R> void ask(Question<R> question, Consumer<R> onReply, Consumer<Throwable> onFailure) {
        new Call<>(question, onReply, onFailure).send();
    }

    private String after(String address) {
        List<String> all = mAddresses;
        return all.get((all.indexOf(address) + 1) % all.size());
    }

    private final class Call<R> implements FutureCallback<R> {
        private final Question<R> mQuestion;
        private final Consumer<R> mOnReply;
        private final Consumer<Throwable> mOnFailure;
        private int mTries;
        private String mAddress;
        private ManagedChannel mChannel;

        Call(Question<R> question, Consumer<R> onReply, Consumer<Throwable> onFailure) {
            mQuestion = question;
            mOnReply = onReply;
            mOnFailure = onFailure;
        }

        void send() {
            mTries++;
            mAddress = mLeader;
            mChannel = mChannels.get(mAddress);
            ControlServiceFutureStub stub =
                    ControlServiceGrpc.newFutureStub(mChannel)
                            .withDeadlineAfter(mTimeout.toMillis(), TimeUnit.MILLISECONDS);
            Futures.addCallback(mQuestion.send().apply(stub), this, MoreExecutors.directExecutor());
        }

        @Override
        public void onSuccess(R reply) {
            if (!mQuestion.isNotLeader().apply(reply) || mTries >= MAX_TRIES) {
                mOnReply.accept(reply);
                return;
            }
            String named = mQuestion.leaderOf().apply(reply);
            mLeader = named.isEmpty() || named.equals(mAddress) ? after(mAddress) : named;
            send();
        }

        @Override
        public void onFailure(Throwable failure) {
            mChannels.fresh(mAddress, mChannel);
            mLeader = after(mAddress);
            if (mTries >= MAX_TRIES) {
                mOnFailure.accept(failure);
                return;
            }
            send();
        }
    }
}
