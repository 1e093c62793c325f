package org.laurelweir.control.replica;

import com.google.common.flogger.FluentLogger;
import com.google.common.util.concurrent.FutureCallback;
import com.google.common.util.concurrent.Futures;
import com.google.common.util.concurrent.MoreExecutors;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.laurelweir.consensus.ConsensusEvent.Bootstrapped;
import org.laurelweir.consensus.Membership;
import org.laurelweir.consensus.ReplicaId;
import org.laurelweir.control.rpc.PeerCalls;
import org.laurelweir.coordination.ControlEvent;
import org.laurelweir.wire.ReplicaCodec;
import org.laurelweir.wire.v1.IdentifyReply;

/**
 * Proposes the first membership of a new deployment. Of the instances with a disk, the one whose
 * name sorts first does so, once every instance has answered and every disk is new. If an instance
 * were allowed to be missing, an instance that lost its disk could bootstrap a second log while the
 * others are unreachable.
 */
public final class MembershipBootstrap {
    private static final FluentLogger sLogger = FluentLogger.forEnclosingClass();
    private static final long RETRY_MILLIS = 250;

    private final ReplicaId mSelf;
    private final PeerCalls mPeers;
    private final BooleanSupplier mEmpty;
    private final Consumer<ControlEvent> mEvents;
    private final ScheduledExecutorService mTimer;

    /**
     * Creates a bootstrap that is not started.
     *
     * @param self this instance with its storage id
     * @param peers calls the other control instances
     * @param empty returns whether this instance's storage is still empty
     * @param events receives the first membership
     * @param timer runs the retries
     */
    public MembershipBootstrap(
            ReplicaId self,
            PeerCalls peers,
            BooleanSupplier empty,
            Consumer<ControlEvent> events,
            ScheduledExecutorService timer) {
        mSelf = self;
        mPeers = peers;
        mEmpty = empty;
        mEvents = events;
        mTimer = timer;
    }

    /**
     * Asks the peers until the first membership is written by this instance or another one. Does
     * nothing on an instance without a disk or with a log.
     */
    public void start() {
        if (mSelf.isDurable() && mEmpty.getAsBoolean()) {
            identifyPeers();
        }
    }

    private void identifyPeers() {
        FutureCallback<List<IdentifyReply>> callback =
                new FutureCallback<>() {
                    @Override
                    public void onSuccess(List<IdentifyReply> replies) {
                        onReplies(replies);
                    }

                    @Override
                    public void onFailure(Throwable failure) {
                        scheduleRetry();
                    }
                };
        Futures.addCallback(mPeers.identifyAll(), callback, MoreExecutors.directExecutor());
    }

    private void scheduleRetry() {
        mTimer.schedule(this::identifyPeers, RETRY_MILLIS, TimeUnit.MILLISECONDS);
    }

    private void onReplies(List<IdentifyReply> replies) {
        if (!mEmpty.getAsBoolean()) {
            return;
        }
        if (replies.contains(null)) {
            scheduleRetry();
            return;
        }
        List<ReplicaId> all = new ArrayList<>(List.of(mSelf));
        replies.forEach(r -> all.add(ReplicaCodec.toCore(r.getReplica())));
        List<ReplicaId> durable = all.stream().filter(ReplicaId::isDurable).sorted().toList();
        if (!durable.get(0).equals(mSelf)) {
            return;
        }
        if (!replies.stream().allMatch(IdentifyReply::getEmpty)) {
            sLogger.atWarning().log(
                    "%s has an empty disk, other instances have a log; it waits to be added",
                    mSelf);
            return;
        }
        mEvents.accept(
                new ControlEvent.ReplicaEvent(new Bootstrapped(Membership.ofVoters(durable))));
    }
}
