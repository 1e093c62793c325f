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
 * Sends calls to the control leader. It starts with the last known leader. If that instance fails
 * or is not the leader, it tries the leader that the instance names, or else the next instance. All
 * calls are idempotent. Thread-safe.
 */
final class ControlLeader {
    /** Enough to fail at a lost leader, learn the next leader from an instance, and call it. */
    private static final int MAX_TRIES = 4;

    private final Channels mChannels;
    private final Duration mTimeout;
    private volatile List<String> mAddresses;
    private volatile String mLeader;

    /**
     * Creates a client of the leader.
     *
     * @param addresses control instances, host:port; at least one
     * @param timeout maximum wait for the answer of one instance
     */
    ControlLeader(Channels channels, List<String> addresses, Duration timeout) {
        mChannels = channels;
        mAddresses = List.copyOf(addresses);
        mLeader = addresses.get(0);
        mTimeout = timeout;
    }

    /** Replaces the addresses by those that control reports. An empty list changes nothing. */
    void setAddresses(List<String> addresses) {
        if (!addresses.isEmpty()) {
            mAddresses = List.copyOf(addresses);
        }
    }

    /**
     * A call to the leader, with the parts of its answer that tell who the leader is.
     *
     * @param send sends the call to one instance
     * @param isNotLeader returns whether the answer is a refusal because the instance does not lead
     * @param leaderOf returns the leader's address in the answer, or empty
     */
    record LeaderRequest<R>(
            Function<ControlServiceFutureStub, ListenableFuture<R>> send,
            Function<R, Boolean> isNotLeader,
            Function<R, String> leaderOf) {}

    /**
     * Calls the leader.
     *
     * @param onReply receives the leader's answer, or the last refusal after {@link #MAX_TRIES}
     * @param onFailure called if the last try fails
     */
    <R> void call(LeaderRequest<R> request, Consumer<R> onReply, Consumer<Throwable> onFailure) {
        new Call<>(request, onReply, onFailure).send();
    }

    private String addressAfter(String address) {
        List<String> all = mAddresses;
        return all.get((all.indexOf(address) + 1) % all.size());
    }

    private final class Call<R> implements FutureCallback<R> {
        private final LeaderRequest<R> mRequest;
        private final Consumer<R> mOnReply;
        private final Consumer<Throwable> mOnFailure;
        private int mTries;
        private String mAddress;
        private ManagedChannel mChannel;

        Call(LeaderRequest<R> request, Consumer<R> onReply, Consumer<Throwable> onFailure) {
            mRequest = request;
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
            Futures.addCallback(mRequest.send().apply(stub), this, MoreExecutors.directExecutor());
        }

        @Override
        public void onSuccess(R reply) {
            if (!mRequest.isNotLeader().apply(reply) || mTries >= MAX_TRIES) {
                mOnReply.accept(reply);
                return;
            }
            String named = mRequest.leaderOf().apply(reply);
            mLeader = named.isEmpty() || named.equals(mAddress) ? addressAfter(mAddress) : named;
            send();
        }

        @Override
        public void onFailure(Throwable failure) {
            mChannels.reconnect(mAddress, mChannel);
            mLeader = addressAfter(mAddress);
            if (mTries >= MAX_TRIES) {
                mOnFailure.accept(failure);
                return;
            }
            send();
        }
    }
}
