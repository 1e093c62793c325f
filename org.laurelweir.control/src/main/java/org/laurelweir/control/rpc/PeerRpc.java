package org.laurelweir.control.rpc;

import io.grpc.stub.StreamObserver;
import java.util.function.Consumer;
import org.laurelweir.coordination.ControlEvent;
import org.laurelweir.wire.CrashCodec;
import org.laurelweir.wire.LoadCodec;
import org.laurelweir.wire.MembershipCodec;
import org.laurelweir.wire.v1.AnnounceReply;
import org.laurelweir.wire.v1.AnnounceRequest;
import org.laurelweir.wire.v1.PeerServiceGrpc.PeerServiceImplBase;
import org.laurelweir.wire.v1.ShareMembershipReply;
import org.laurelweir.wire.v1.ShareMembershipRequest;

/** Serves calls of the other control instances: updates on request, and announcements. */
public final class PeerRpc extends PeerServiceImplBase {
    private final PendingCalls mCalls;
    private final Consumer<ControlEvent> mEvents;

    /**
     * Creates the service.
     *
     * @param calls registers the calls that wait for an answer
     * @param events receives events, from any thread
     */
    public PeerRpc(PendingCalls calls, Consumer<ControlEvent> events) {
        mCalls = calls;
        mEvents = events;
    }

    @Override
    public void shareMembership(
            ShareMembershipRequest r, StreamObserver<ShareMembershipReply> out) {
        mEvents.accept(
                new ControlEvent.PeerUpdateRequested(
                        mCalls.open(out, StatusReplies::peerUpdate),
                        r.getControl(),
                        MembershipCodec.toCore(r.getCursor()),
                        r.getCrashesSeen(),
                        r.getWithRouters()));
    }

    @Override
    public void announce(AnnounceRequest r, StreamObserver<AnnounceReply> out) {
        mEvents.accept(
                new ControlEvent.PeerAnnounced(
                        r.getAnnouncementsList().stream().map(MembershipCodec::toCore).toList(),
                        CrashCodec.toCore(r.getCrashesList()),
                        LoadCodec.toCore(r.getLoads())));
        PendingCalls.send(out, AnnounceReply.getDefaultInstance());
    }
}
