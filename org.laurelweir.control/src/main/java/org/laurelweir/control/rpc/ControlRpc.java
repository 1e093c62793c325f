package org.laurelweir.control.rpc;

import io.grpc.Status;
import io.grpc.stub.StreamObserver;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.OptionalLong;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.laurelweir.consensus.MembershipChange;
import org.laurelweir.consensus.ReplicaId;
import org.laurelweir.coordination.ControlEvent;
import org.laurelweir.lib.ResultCode;
import org.laurelweir.membership.MembershipCursor;
import org.laurelweir.quarantine.CrashReport;
import org.laurelweir.runtime.process.ElapsedClock;
import org.laurelweir.settings.NodePath;
import org.laurelweir.wire.ContentionCodec;
import org.laurelweir.wire.CrashCodec;
import org.laurelweir.wire.IdCodec;
import org.laurelweir.wire.LoadCodec;
import org.laurelweir.wire.MembershipCodec;
import org.laurelweir.wire.ReplicaCodec;
import org.laurelweir.wire.RequestCodec;
import org.laurelweir.wire.StreamCodec;
import org.laurelweir.wire.v1.ChangeMembersReply;
import org.laurelweir.wire.v1.ChangeMembersRequest;
import org.laurelweir.wire.v1.ChangeSettingsReply;
import org.laurelweir.wire.v1.ChangeSettingsRequest;
import org.laurelweir.wire.v1.ClaimReply;
import org.laurelweir.wire.v1.ClaimRequest;
import org.laurelweir.wire.v1.ControlServiceGrpc.ControlServiceImplBase;
import org.laurelweir.wire.v1.DrainDataCentreRequest;
import org.laurelweir.wire.v1.DrainReply;
import org.laurelweir.wire.v1.DrainRequest;
import org.laurelweir.wire.v1.ExchangeReply;
import org.laurelweir.wire.v1.ExchangeRequest;
import org.laurelweir.wire.v1.FindStreamReply;
import org.laurelweir.wire.v1.FindStreamRequest;
import org.laurelweir.wire.v1.HistoryReply;
import org.laurelweir.wire.v1.HistoryRequest;
import org.laurelweir.wire.v1.IssueFenceReply;
import org.laurelweir.wire.v1.IssueFenceRequest;
import org.laurelweir.wire.v1.ReadSettingsReply;
import org.laurelweir.wire.v1.ReadSettingsRequest;
import org.laurelweir.wire.v1.RecordStreamReply;
import org.laurelweir.wire.v1.RecordStreamRequest;
import org.laurelweir.wire.v1.ReleaseReply;
import org.laurelweir.wire.v1.ReleaseRequest;
import org.laurelweir.wire.v1.SettleClaimReply;
import org.laurelweir.wire.v1.SettleClaimRequest;
import org.laurelweir.wire.v1.StatusReply;
import org.laurelweir.wire.v1.StatusRequest;

/**
 * Serves routers, sidecars and operators. Each call becomes an event for the reducer and waits for
 * the reducer's answer.
 */
public final class ControlRpc extends ControlServiceImplBase {
    private static final int MAX_HISTORY_ENTRIES = 1000;

    private final PendingCalls mCalls;
    private final Consumer<ControlEvent> mEvents;
    private final Duration mExchangeInterval;
    private final Supplier<List<String>> mControls;
    private final ReadConfirmer mConfirmer;
    private final SettingsMessages mSettings = new SettingsMessages();
    private final LargeAnswers mLargeAnswers = new LargeAnswers();

    /**
     * Creates the service.
     *
     * @param calls registers the calls that wait for an answer
     * @param events receives events, from any thread
     * @param exchangeInterval the interval between exchanges of a sidecar or router
     * @param controls returns the addresses of all control instances, host:port
     * @param confirmer tells as of when the settings are confirmed
     */
    public ControlRpc(
            PendingCalls calls,
            Consumer<ControlEvent> events,
            Duration exchangeInterval,
            Supplier<List<String>> controls,
            ReadConfirmer confirmer) {
        mCalls = calls;
        mEvents = events;
        mExchangeInterval = exchangeInterval;
        mControls = controls;
        mConfirmer = confirmer;
    }

    @Override
    public void exchange(ExchangeRequest r, StreamObserver<ExchangeReply> out) {
        ExchangeCall call = new ExchangeCall(r, out, mLargeAnswers.open(out));
        MembershipCursor cursor = MembershipCodec.toCore(r.getMembership());
        switch (r.getReporterCase()) {
            case SIDECAR ->
                    mEvents.accept(
                            new ControlEvent.SidecarExchanged(
                                    openExchange(call),
                                    MembershipCodec.toCore(r.getSidecar()),
                                    cursor,
                                    r.getSettingsPosition()));
            case ROUTER -> routerExchanged(call, cursor);
            default ->
                    out.onError(
                            Status.INVALID_ARGUMENT
                                    .withDescription("no reporter: expected a sidecar or a router")
                                    .asRuntimeException());
        }
    }

    /** A pending exchange. */
    private record ExchangeCall(
            ExchangeRequest request,
            StreamObserver<ExchangeReply> out,
            LargeAnswers.PendingAnswer pendingAnswer) {}

    /**
     * Passes a router's exchange to the reducer once the settings are confirmed. The first exchange
     * is passed on at once, so that the router can load the tree while it waits for the
     * confirmation.
     */
    private void routerExchanged(ExchangeCall call, MembershipCursor cursor) {
        ExchangeRequest r = call.request();
        Runnable answer =
                () ->
                        mEvents.accept(
                                new ControlEvent.RouterExchanged(
                                        openExchange(call),
                                        MembershipCodec.toCore(r.getRouter()),
                                        cursor,
                                        r.getSettingsPosition(),
                                        new CrashReport(
                                                r.getCrashesSeen(),
                                                CrashCodec.toCore(r.getCrashesList())),
                                        LoadCodec.toCore(r.getLoads()),
                                        ContentionCodec.toCore(r.getContention())));
        if (cursor.equals(MembershipCursor.NONE)) {
            answer.run();
        } else {
            mConfirmer.whenConfirmed(answer);
        }
    }

    private long openExchange(ExchangeCall call) {
        // Read before the settings are read: the settings contain at least all changes up to this
        // time.
        ElapsedClock.Mark confirmed = mConfirmer.confirmed();
        return mCalls.open(
                answer -> {
                    ExchangeReply reply =
                            Replies.exchange(answer, call.request(), mSettings)
                                    .setNextExchangeMillis((int) mExchangeInterval.toMillis())
                                    .addAllControls(mControls.get())
                                    .build();
                    int bytes = reply.getSerializedSize();
                    // The age is computed when the reply is sent, which may be some time later.
                    call.pendingAnswer()
                            .send(
                                    bytes,
                                    () -> PendingCalls.send(call.out(), withAge(reply, confirmed)));
                });
    }

    private ExchangeReply withAge(ExchangeReply reply, ElapsedClock.Mark confirmed) {
        OptionalLong age = mConfirmer.ageMillis(confirmed);
        return age.isEmpty()
                ? reply
                : reply.toBuilder().setSettingsAgeMillis(ageToWire(age.getAsLong())).build();
    }

    /**
     * Returns an age that fits its field. A truncated value could make the settings look newer than
     * they are.
     */
    static int ageToWire(long ageMillis) {
        return (int) Math.min(ageMillis, Integer.MAX_VALUE);
    }

    @Override
    public void claim(ClaimRequest r, StreamObserver<ClaimReply> out) {
        // A claim without a retention time would let a retry run a second time.
        if (r.getKey().isEmpty() || r.getRetentionMillis() <= 0) {
            PendingCalls.send(
                    out,
                    ClaimReply.newBuilder()
                            .setCode(ResultCode.BAD_REQUEST.number())
                            .setMessage("a claim needs a key and a retention time")
                            .build());
            return;
        }
        propose(mCalls.open(out, Replies::claim), RequestCodec.toCore(r, Instant.EPOCH));
    }

    @Override
    public void settleClaim(SettleClaimRequest r, StreamObserver<SettleClaimReply> out) {
        propose(mCalls.open(out, Replies::settleClaim), RequestCodec.toCore(r, Instant.EPOCH));
    }

    @Override
    public void changeSettings(ChangeSettingsRequest r, StreamObserver<ChangeSettingsReply> out) {
        if (r.getChangeId().isEmpty()) {
            PendingCalls.send(
                    out,
                    ChangeSettingsReply.newBuilder()
                            .setCode(ResultCode.BAD_REQUEST.number())
                            .setMessage("a change needs an id, so that it can be retried")
                            .build());
            return;
        }
        propose(mCalls.open(out, Replies::settingsChange), RequestCodec.toCore(r, Instant.EPOCH));
    }

    @Override
    public void drain(DrainRequest r, StreamObserver<DrainReply> out) {
        propose(mCalls.open(out, Replies::drain), RequestCodec.toCore(r, Instant.EPOCH));
    }

    @Override
    public void drainDataCentre(DrainDataCentreRequest r, StreamObserver<DrainReply> out) {
        propose(mCalls.open(out, Replies::drain), RequestCodec.toCore(r, Instant.EPOCH));
    }

    @Override
    public void issueFence(IssueFenceRequest r, StreamObserver<IssueFenceReply> out) {
        propose(mCalls.open(out, Replies::issueFence), RequestCodec.toCore(r, Instant.EPOCH));
    }

    private void propose(long call, org.laurelweir.coordination.Command command) {
        mEvents.accept(new ControlEvent.CommandReceived(call, command));
    }

    @Override
    public void readSettings(ReadSettingsRequest r, StreamObserver<ReadSettingsReply> out) {
        NodePath path;
        try {
            path = path(r.getPath());
        } catch (IllegalArgumentException e) {
            PendingCalls.send(
                    out,
                    ReadSettingsReply.newBuilder()
                            .setCode(ResultCode.BAD_REQUEST.number())
                            .setMessage(e.getMessage())
                            .build());
            return;
        }
        mEvents.accept(
                new ControlEvent.SettingsRequested(
                        mCalls.open(out, Replies::settings),
                        path,
                        r.getLinearizable(),
                        r.getPosition()));
    }

    @Override
    public void history(HistoryRequest r, StreamObserver<HistoryReply> out) {
        NodePath path;
        try {
            path = path(r.getPath());
        } catch (IllegalArgumentException e) {
            PendingCalls.send(
                    out,
                    HistoryReply.newBuilder().setCode(ResultCode.BAD_REQUEST.number()).build());
            return;
        }
        int limit =
                r.getLimit() == 0
                        ? MAX_HISTORY_ENTRIES
                        : Math.min(r.getLimit(), MAX_HISTORY_ENTRIES);
        mEvents.accept(
                new ControlEvent.HistoryRequested(mCalls.open(out, Replies::history), path, limit));
    }

    @Override
    public void recordStream(RecordStreamRequest r, StreamObserver<RecordStreamReply> out) {
        mEvents.accept(
                new ControlEvent.StreamOriginRecorded(
                        mCalls.open(out, Replies::streamRecorded),
                        r.getStream(),
                        StreamCodec.toCore(r.getOrigin()),
                        IdCodec.toCore(r.getServer()),
                        Duration.ofMillis(r.getRetentionMillis())));
    }

    @Override
    public void findStream(FindStreamRequest r, StreamObserver<FindStreamReply> out) {
        mEvents.accept(
                new ControlEvent.StreamOriginRequested(
                        mCalls.open(out, Replies::streamOrigin),
                        r.getStream(),
                        r.getService(),
                        Duration.ofMillis(r.getWindowMillis())));
    }

    private static NodePath path(String text) {
        return text.isEmpty() ? null : NodePath.parse(text);
    }

    @Override
    public void status(StatusRequest r, StreamObserver<StatusReply> out) {
        mEvents.accept(new ControlEvent.StatusRequested(mCalls.open(out, StatusReplies::status)));
    }

    @Override
    public void release(ReleaseRequest r, StreamObserver<ReleaseReply> out) {
        mEvents.accept(
                new ControlEvent.ReleaseRequested(
                        mCalls.open(out, Replies::release),
                        CrashCodec.toKey(r.getKind(), r.getAccount(), r.getFingerprint()),
                        r.getAuthor()));
    }

    @Override
    public void changeMembers(ChangeMembersRequest r, StreamObserver<ChangeMembersReply> out) {
        ReplicaId replica = ReplicaCodec.toCore(r.getReplica());
        MembershipChange change =
                switch (r.getStep()) {
                    case ADD_LEARNER -> new MembershipChange.AddLearner(replica);
                    case PROMOTE -> new MembershipChange.Promote(replica);
                    case REMOVE -> new MembershipChange.Remove(replica);
                    case REPLACE ->
                            new MembershipChange.Replace(
                                    ReplicaCodec.toCore(r.getReplaced()), replica);
                    default -> null;
                };
        if (change == null) {
            PendingCalls.send(
                    out,
                    ChangeMembersReply.newBuilder()
                            .setCode(ResultCode.BAD_REQUEST.number())
                            .setMessage("no step: expected ADD_LEARNER, PROMOTE, REMOVE or REPLACE")
                            .build());
            return;
        }
        mEvents.accept(
                new ControlEvent.MembershipChangeRequested(
                        mCalls.open(out, Replies::members), change));
    }
}
