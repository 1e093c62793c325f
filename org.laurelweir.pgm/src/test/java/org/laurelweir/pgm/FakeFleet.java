package org.laurelweir.pgm;

import com.codahale.metrics.MetricRegistry;
import io.grpc.BindableService;
import io.grpc.Status;
import io.grpc.stub.StreamObserver;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.laurelweir.lib.ResultCode;
import org.laurelweir.lib.Service;
import org.laurelweir.pgm.fleet.Replicas;
import org.laurelweir.runtime.rpc.EventLoops;
import org.laurelweir.runtime.rpc.RpcServer;
import org.laurelweir.runtime.rpc.TrafficCounters;
import org.laurelweir.wire.v1.Backend;
import org.laurelweir.wire.v1.BackendRef;
import org.laurelweir.wire.v1.BackendState;
import org.laurelweir.wire.v1.BackendStatus;
import org.laurelweir.wire.v1.ChangeMembersReply;
import org.laurelweir.wire.v1.ChangeMembersRequest;
import org.laurelweir.wire.v1.ChangeMembersRequest.Step;
import org.laurelweir.wire.v1.ChangeSettingsReply;
import org.laurelweir.wire.v1.ChangeSettingsRequest;
import org.laurelweir.wire.v1.ControlServiceGrpc;
import org.laurelweir.wire.v1.ControlStatus;
import org.laurelweir.wire.v1.Crash;
import org.laurelweir.wire.v1.CrashRecord;
import org.laurelweir.wire.v1.DataCentreDrain;
import org.laurelweir.wire.v1.Decision;
import org.laurelweir.wire.v1.DrainDataCentreRequest;
import org.laurelweir.wire.v1.DrainReply;
import org.laurelweir.wire.v1.DrainRequest;
import org.laurelweir.wire.v1.ExplainReply;
import org.laurelweir.wire.v1.ExplainRequest;
import org.laurelweir.wire.v1.ExplainUnsentReply;
import org.laurelweir.wire.v1.ExplainUnsentRequest;
import org.laurelweir.wire.v1.HistoryReply;
import org.laurelweir.wire.v1.HistoryRequest;
import org.laurelweir.wire.v1.IssueFenceReply;
import org.laurelweir.wire.v1.IssueFenceRequest;
import org.laurelweir.wire.v1.LossTolerance;
import org.laurelweir.wire.v1.OrderReply;
import org.laurelweir.wire.v1.OrderRequest;
import org.laurelweir.wire.v1.ReadSettingsReply;
import org.laurelweir.wire.v1.ReadSettingsRequest;
import org.laurelweir.wire.v1.ReleaseReply;
import org.laurelweir.wire.v1.ReleaseRequest;
import org.laurelweir.wire.v1.ReplicaId;
import org.laurelweir.wire.v1.RouterReport;
import org.laurelweir.wire.v1.RouterServiceGrpc;
import org.laurelweir.wire.v1.RouterStatus;
import org.laurelweir.wire.v1.SettingsNode;
import org.laurelweir.wire.v1.SidecarServiceGrpc;
import org.laurelweir.wire.v1.StatusReply;
import org.laurelweir.wire.v1.StatusRequest;
import org.laurelweir.wire.v1.SuspectKind;
import org.laurelweir.wire.v1.UnsentRefusal;
import org.laurelweir.wire.v1.UnsentServer;
import org.laurelweir.wire.v1.UnsentService;

/** A control leader and follower, a router and a sidecar on loopback, without a replicated log. */
final class FakeFleet implements Service {
    static final String BACKEND = "sh-1";
    static final String DRAINED_DATA_CENTRE = "askoy";
    private static final CrashRecord QUARANTINED =
            CrashRecord.newBuilder()
                    .setAccount("acme")
                    .setFingerprint(0xfeedL)
                    .setService("seilhjerne")
                    .addCrashes(crash("sh-2", 90_000))
                    .addCrashes(crash("sh-3", 61_000))
                    .addCrashes(crash("sh-4", 70_000))
                    .build();

    private static final CrashRecord QUARANTINED_PART =
            CrashRecord.newBuilder()
                    .setKind(SuspectKind.SUSPECT_KIND_PROMPT_PART)
                    .setFingerprint(0xbadL)
                    .setService("seilhjerne")
                    .addCrashes(crash("sh-5", 50_000).toBuilder().setAccount("brig"))
                    .build();

    private final EventLoops mLoops = new EventLoops("fake", 1);
    private final FakeTree mTree = new FakeTree();
    private final List<OrderRequest> mOrders = new ArrayList<>();
    private final List<DrainRequest> mDrains = new ArrayList<>();
    private final List<DrainDataCentreRequest> mDataCentreDrains = new ArrayList<>();
    private final List<ReleaseRequest> mReleases = new ArrayList<>();
    private final RpcServer mLeader = server(new Leader());
    private final RpcServer mFollower = server(new Follower());
    private final RpcServer mRouter = server(new Router());
    private final RpcServer mSidecar = server(new Sidecar());
    private final List<String> mMembershipSteps = new ArrayList<>();
    private int mPendingPromotions;
    private int mChangeCalls;
    private int mLostAnswers;
    private LossTolerance mLossTolerance;

    @Override
    public void start() {
        List.of(mLeader, mFollower, mRouter, mSidecar).forEach(RpcServer::start);
    }

    @Override
    public void stop() {
        List.of(mLeader, mFollower, mRouter, mSidecar).forEach(RpcServer::stop);
        mLoops.stop();
    }

    String leader() {
        return address(mLeader);
    }

    String follower() {
        return address(mFollower);
    }

    /** Drops the answers to the next {@code count} changes, after accepting the changes. */
    synchronized void loseAnswers(int count) {
        mLostAnswers = count;
    }

    /** Sets what the leader tells of the losses that the log can bear. */
    synchronized void setLossTolerance(LossTolerance tolerance) {
        mLossTolerance = tolerance;
    }

    synchronized void put(String path, long version, Map<String, String> values) {
        mTree.put(path, version, values);
    }

    synchronized SettingsNode node(String path) {
        return mTree.node(path);
    }

    synchronized int changeCalls() {
        return mChangeCalls;
    }

    /** Rejects the next {@code count} promotions as if the replica had not caught up yet. */
    synchronized void delayPromotion(int count) {
        mPendingPromotions = count;
    }

    synchronized List<String> membershipSteps() {
        return List.copyOf(mMembershipSteps);
    }

    synchronized List<OrderRequest> orders() {
        return List.copyOf(mOrders);
    }

    synchronized List<ReleaseRequest> releases() {
        return List.copyOf(mReleases);
    }

    synchronized List<DrainDataCentreRequest> dataCentreDrains() {
        return List.copyOf(mDataCentreDrains);
    }

    synchronized List<DrainRequest> drains() {
        return List.copyOf(mDrains);
    }

    private RpcServer server(BindableService service) {
        return RpcServer.builder(mLoops, new TrafficCounters(new MetricRegistry()))
                .service(service)
                .build();
    }

    private static String address(RpcServer server) {
        return "127.0.0.1:" + server.port();
    }

    private static Crash crash(String server, long ageMillis) {
        return Crash.newBuilder()
                .setServer(BackendRef.newBuilder().setId(server))
                .setAgeMillis(ageMillis)
                .build();
    }

    private static ControlStatus.Builder control(String name, long storageId) {
        return ControlStatus.newBuilder()
                .setName(name)
                .setReplica(ReplicaId.newBuilder().setName(name).setStorageId(storageId))
                .addVoters(ReplicaId.newBuilder().setName("control-1").setStorageId(1))
                .addVoters(ReplicaId.newBuilder().setName("control-2").setStorageId(0xa));
    }

    private ControlStatus.Builder leaderStatus() {
        ControlStatus.Builder status = control("control-1", 1).setLeader(true).setTerm(7);
        return mLossTolerance == null ? status : status.setLossTolerance(mLossTolerance);
    }

    private static <T> void answer(StreamObserver<T> observer, T reply) {
        observer.onNext(reply);
        observer.onCompleted();
    }

    private final class Leader extends ControlServiceGrpc.ControlServiceImplBase {
        @Override
        public void readSettings(
                ReadSettingsRequest request, StreamObserver<ReadSettingsReply> observer) {
            synchronized (FakeFleet.this) {
                answer(observer, mTree.read(request));
            }
        }

        @Override
        public void changeSettings(
                ChangeSettingsRequest request, StreamObserver<ChangeSettingsReply> observer) {
            synchronized (FakeFleet.this) {
                mChangeCalls++;
                ChangeSettingsReply reply = mTree.change(request);
                if (mLostAnswers > 0) {
                    mLostAnswers--;
                    observer.onError(Status.UNAVAILABLE.asRuntimeException());
                    return;
                }
                answer(observer, reply);
            }
        }

        @Override
        public void history(HistoryRequest request, StreamObserver<HistoryReply> observer) {
            synchronized (FakeFleet.this) {
                answer(observer, mTree.history());
            }
        }

        @Override
        public void drain(DrainRequest request, StreamObserver<DrainReply> observer) {
            synchronized (FakeFleet.this) {
                mDrains.add(request);
                answer(observer, DrainReply.getDefaultInstance());
            }
        }

        @Override
        public void drainDataCentre(
                DrainDataCentreRequest request, StreamObserver<DrainReply> observer) {
            synchronized (FakeFleet.this) {
                mDataCentreDrains.add(request);
                answer(observer, DrainReply.getDefaultInstance());
            }
        }

        @Override
        public void release(ReleaseRequest request, StreamObserver<ReleaseReply> observer) {
            synchronized (FakeFleet.this) {
                mReleases.add(request);
                answer(observer, ReleaseReply.getDefaultInstance());
            }
        }

        @Override
        public void issueFence(
                IssueFenceRequest request, StreamObserver<IssueFenceReply> observer) {
            answer(observer, IssueFenceReply.newBuilder().setFence(7).build());
        }

        @Override
        public void changeMembers(
                ChangeMembersRequest request, StreamObserver<ChangeMembersReply> observer) {
            synchronized (FakeFleet.this) {
                mMembershipSteps.add(stepText(request));
                boolean isPromotion =
                        request.getStep() == Step.PROMOTE || request.getStep() == Step.REPLACE;
                boolean early = isPromotion && mPendingPromotions-- > 0;
                ResultCode code = early ? ResultCode.MEMBERSHIP_CHANGE_PENDING : ResultCode.OK;
                answer(observer, ChangeMembersReply.newBuilder().setCode(code.number()).build());
            }
        }

        private static String stepText(ChangeMembersRequest request) {
            String step = request.getStep() + " " + Replicas.text(request.getReplica());
            return request.hasReplaced()
                    ? step + " for " + Replicas.text(request.getReplaced())
                    : step;
        }

        @Override
        public void status(StatusRequest request, StreamObserver<StatusReply> observer) {
            Backend.Builder backend =
                    Backend.newBuilder()
                            .setRef(BackendRef.newBuilder().setId(BACKEND))
                            .setService("seilhjerne")
                            .setVersion("v1.2")
                            .setAddress(address(mSidecar))
                            .setState(BackendState.SERVING);
            RouterReport.Builder router =
                    RouterReport.newBuilder().setName("r1").setExplainAddress(address(mRouter));
            RouterReport.Builder unreachable =
                    RouterReport.newBuilder().setName("r2").setExplainAddress("127.0.0.1:1");
            answer(
                    observer,
                    StatusReply.newBuilder()
                            .addControls(leaderStatus())
                            .addControls(control("control-2", 0xb))
                            .addBackends(BackendStatus.newBuilder().setBackend(backend))
                            .addRouters(RouterStatus.newBuilder().setRouter(router))
                            .addRouters(RouterStatus.newBuilder().setRouter(unreachable))
                            .addQuarantined(QUARANTINED)
                            .addQuarantined(QUARANTINED_PART)
                            .addDrainedDataCentres(
                                    DataCentreDrain.newBuilder()
                                            .setDataCentre(DRAINED_DATA_CENTRE)
                                            .setAuthor("ann"))
                            .build());
        }
    }

    private final class Follower extends ControlServiceGrpc.ControlServiceImplBase {
        @Override
        public void changeSettings(
                ChangeSettingsRequest request, StreamObserver<ChangeSettingsReply> observer) {
            answer(
                    observer,
                    ChangeSettingsReply.newBuilder()
                            .setCode(ResultCode.NOT_LEADER.number())
                            .setLeader(leader())
                            .build());
        }

        @Override
        public void readSettings(
                ReadSettingsRequest request, StreamObserver<ReadSettingsReply> observer) {
            answer(
                    observer,
                    ReadSettingsReply.newBuilder()
                            .setCode(ResultCode.NOT_LEADER.number())
                            .setLeader(leader())
                            .build());
        }
    }

    private static final class Router extends RouterServiceGrpc.RouterServiceImplBase {
        @Override
        public void explain(ExplainRequest request, StreamObserver<ExplainReply> observer) {
            answer(observer, FakeFleet.decision("router", request, 1));
        }

        @Override
        public void explainUnsent(
                ExplainUnsentRequest request, StreamObserver<ExplainUnsentReply> observer) {
            ExplainUnsentReply.Builder reply =
                    ExplainUnsentReply.newBuilder().setRouter("r1").setFleetAgeMillis(Double.NaN);
            if (request.getAccount().isEmpty()) {
                UnsentRefusal.Builder refusal =
                        UnsentRefusal.newBuilder().setCode(1002).setName("UNAUTHENTICATED");
                answer(observer, reply.setRefusal(refusal).build());
                return;
            }
            UnsentServer.Builder server =
                    UnsentServer.newBuilder()
                            .setRef(BackendRef.newBuilder().setId(BACKEND))
                            .setLoadAgeMillis(Double.NaN);
            UnsentService.Builder service =
                    UnsentService.newBuilder()
                            .setService(request.getPromptParts())
                            .setMeanLoad(Double.NaN)
                            .setBound(Double.NaN)
                            .setChoice(BACKEND)
                            .setReason("home")
                            .addServers(server);
            answer(
                    observer,
                    reply.setRoute(request.getHost() + request.getPath())
                            .addServices(service)
                            .build());
        }
    }

    private final class Sidecar extends SidecarServiceGrpc.SidecarServiceImplBase {
        @Override
        public void explain(ExplainRequest request, StreamObserver<ExplainReply> observer) {
            answer(observer, FakeFleet.decision("sidecar", request, 2));
        }

        @Override
        public void order(OrderRequest request, StreamObserver<OrderReply> observer) {
            synchronized (FakeFleet.this) {
                mOrders.add(request);
                answer(observer, OrderReply.getDefaultInstance());
            }
        }
    }

    private static ExplainReply decision(String program, ExplainRequest request, long at) {
        return ExplainReply.newBuilder()
                .addDecisions(
                        Decision.newBuilder()
                                .setProgram(program)
                                .setRequest(request.getSubject())
                                .setAtMillis(at)
                                .addCandidates(BACKEND)
                                .setChoice(BACKEND)
                                .setReason("home"))
                .build();
    }
}
