package org.laurelweir.router;

import io.grpc.stub.StreamObserver;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import org.laurelweir.lib.ResultCode;
import org.laurelweir.membership.Backend;
import org.laurelweir.membership.MembershipCursor;
import org.laurelweir.membership.MembershipDelta;
import org.laurelweir.wire.MembershipCodec;
import org.laurelweir.wire.v1.ClaimReply;
import org.laurelweir.wire.v1.ClaimRequest;
import org.laurelweir.wire.v1.ControlServiceGrpc;
import org.laurelweir.wire.v1.ExchangeReply;
import org.laurelweir.wire.v1.ExchangeRequest;
import org.laurelweir.wire.v1.SettingsDelta;
import org.laurelweir.wire.v1.SettingsNode;
import org.laurelweir.wire.v1.SettleClaimReply;
import org.laurelweir.wire.v1.SettleClaimRequest;

/** A control instance with a fixed membership and settings tree, which grants every claim. */
final class FakeControlServer extends ControlServiceGrpc.ControlServiceImplBase {
    private final SettingsDelta.Builder mSettings =
            SettingsDelta.newBuilder().setPosition(1).setFull(true);
    final Queue<ClaimRequest> mClaims = new ConcurrentLinkedQueue<>();
    private final List<Backend> mBackends = new ArrayList<>();

    void set(String path, Map<String, String> values) {
        mSettings.addNodes(
                SettingsNode.newBuilder().setPath(path).setVersion(1).putAllValues(values));
    }

    void add(Backend backend) {
        mBackends.add(backend);
    }

    @Override
    public void exchange(ExchangeRequest request, StreamObserver<ExchangeReply> reply) {
        MembershipCursor cursor = new MembershipCursor("c1", 1, 1);
        MembershipDelta membership = new MembershipDelta(cursor, true, mBackends);
        answer(
                reply,
                ExchangeReply.newBuilder()
                        .setSettingsAgeMillis(0)
                        .setMembership(MembershipCodec.toWire(membership))
                        .setSettings(mSettings.build())
                        .build());
    }

    @Override
    public void claim(ClaimRequest request, StreamObserver<ClaimReply> reply) {
        mClaims.add(request);
        answer(
                reply,
                ClaimReply.newBuilder()
                        .setCode(ResultCode.OK.number())
                        .setHolder(request.getAttempt())
                        .setHolderTarget(request.getTarget())
                        .build());
    }

    @Override
    public void settleClaim(SettleClaimRequest request, StreamObserver<SettleClaimReply> reply) {
        answer(reply, SettleClaimReply.getDefaultInstance());
    }

    private static <T> void answer(StreamObserver<T> reply, T message) {
        reply.onNext(message);
        reply.onCompleted();
    }
}
