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
 * Writes the first membership of a new deployment: by the instance whose name sorts first of those
 * with a disk, once every instance has answered and every disk is new. Were one allowed to be
 * missing, an instance that lost its disk could found a second log beside the first while the
 * others are out of reach.
 */
public final class FirstMembership {
    private static final FluentLogger sLogger = FluentLogger.forEnclosingClass();
    private static final long RETRY_MILLIS = 250;

    private final ReplicaId mSelf;
    private final PeerCalls mPeers;
    private final BooleanSupplier mEmpty;
    private final Consumer<ControlEvent> mEvents;
    private final ScheduledExecutorService mTimer;

    /**
     * Creates the founder.
     *
     * @param self this instance with its disk's id
     * @param peers asks every other control instance
     * @param empty whether this instance's disk holds nothing yet
     * @param events takes the first membership
     * @param timer runs the retries
     */
    public FirstMembership(
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

    /** Asks the peers until the first membership is written, here or elsewhere. */
    public void begin() {
        if (mSelf.isDurable() && mEmpty.getAsBoolean()) {
            ask();
        }
    }

    private void ask() {
        FutureCallback<List<IdentifyReply>> callback =
                new FutureCallback<>() {
                    @Override
                    public void onSuccess(List<IdentifyReply> replies) {
                        take(replies);
                    }

                    @Override
                    public void onFailure(Throwable failure) {
                        askLater();
                    }
                };
        Futures.addCallback(mPeers.identifyAll(), callback, MoreExecutors.directExecutor());
    }

    private void askLater() {
        mTimer.schedule(this::ask, RETRY_MILLIS, TimeUnit.MILLISECONDS);
    }

    private void take(List<IdentifyReply> replies) {
        if (!mEmpty.getAsBoolean()) {
            return;
        }
        if (replies.contains(null)) {
            askLater();
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
                    "%s has a new disk and others have not: it waits to be made a replica", mSelf);
            return;
        }
        mEvents.accept(
                new ControlEvent.ReplicaEvent(new Bootstrapped(Membership.ofVoters(durable))));
    }
}
