package org.laurelweir.control;

import com.codahale.metrics.MetricRegistry;
import com.google.common.flogger.FluentLogger;
import java.nio.file.Path;
import java.security.SecureRandom;
import java.time.Duration;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.laurelweir.consensus.ConsensusConfig;
import org.laurelweir.consensus.ConsensusEvent;
import org.laurelweir.consensus.ConsensusEvent.Persisted;
import org.laurelweir.consensus.ConsensusEvent.Recovered;
import org.laurelweir.consensus.ReplicaId;
import org.laurelweir.control.replica.FirstMembership;
import org.laurelweir.control.replica.FirstSettings;
import org.laurelweir.control.rpc.ControlGateway;
import org.laurelweir.control.rpc.ControlRpc;
import org.laurelweir.control.rpc.PeerCalls;
import org.laurelweir.control.rpc.PeerRpc;
import org.laurelweir.control.rpc.PendingCalls;
import org.laurelweir.control.rpc.ReadConfirmer;
import org.laurelweir.control.rpc.ReplicaRpc;
import org.laurelweir.control.storage.DisklessLogStorage;
import org.laurelweir.control.storage.FileLogStorage;
import org.laurelweir.control.storage.LogStorage;
import org.laurelweir.control.storage.LogWriter;
import org.laurelweir.control.storage.StorageOpener;
import org.laurelweir.coordination.ControlConfig;
import org.laurelweir.coordination.ControlEffect;
import org.laurelweir.coordination.ControlEvent;
import org.laurelweir.coordination.ControlReducer;
import org.laurelweir.errors.LaurelweirException;
import org.laurelweir.lib.ResultCode;
import org.laurelweir.lib.Service;
import org.laurelweir.membership.MembershipConfig;
import org.laurelweir.runtime.config.Endpoint;
import org.laurelweir.runtime.config.TreeFile;
import org.laurelweir.runtime.log.Logging;
import org.laurelweir.runtime.loop.ReducerLoop;
import org.laurelweir.runtime.metrics.MetricsServer;
import org.laurelweir.runtime.process.BackgroundExecutor;
import org.laurelweir.runtime.process.ElapsedClock;
import org.laurelweir.runtime.process.Program;
import org.laurelweir.runtime.rpc.Channels;
import org.laurelweir.runtime.rpc.EventLoops;
import org.laurelweir.runtime.rpc.PortFile;
import org.laurelweir.runtime.rpc.RpcServer;
import org.laurelweir.runtime.rpc.TrafficCounters;
import org.laurelweir.wire.CommandCodec;

/** A control instance: the reducer with its disk, its servers and its connections. */
public final class ControlProgram implements Service {
    private static final FluentLogger sLogger = FluentLogger.forEnclosingClass();
    private static final Duration TICK = Duration.ofMillis(20);
    private static final Duration GRACE = Duration.ofMillis(500);
    private static final Duration HAND_OVER = Duration.ofSeconds(2);
    private static final int HEARTBEATS_PER_ELECTION = 6;

    private final ControlFile mFile;
    private final InstantSource mClock;
    private final Consumer<String> mConsole;
    private final Logging mLogging;
    private final MetricRegistry mRegistry = new MetricRegistry();
    private final ControlMetrics mMetrics = new ControlMetrics(mRegistry);
    private final PendingCalls mCalls = new PendingCalls();
    private final ScheduledExecutorService mBackground =
            new BackgroundExecutor("control-background", ControlProgram::backgroundFailed);
    private final CommandCodec mCodec = new CommandCodec();
    private final EventLoops mLoops;
    private final Channels mChannels;
    private final TrafficCounters mTraffic = new TrafficCounters(mRegistry);
    // Calls may arrive as soon as the server listens; they wait the moment until the loop runs.
    private final CompletableFuture<ReducerLoop<ControlEvent, ControlEffect>> mLoop =
            new CompletableFuture<>();
    private LogStorage mStorage;
    private LogWriter mLog;
    private RpcServer mServer;
    private ControlEffects mEffects;
    private MetricsServer mMetricsServer;
    private final ReadConfirmer mConfirmer;
    private boolean mRecoveredEmpty;

    /**
     * Creates an instance that has not started.
     *
     * @param file its settings
     * @param clock tells the time
     * @param console takes the line that says where it listens
     */
    public ControlProgram(ControlFile file, InstantSource clock, Consumer<String> console) {
        mFile = file;
        mClock = clock;
        mConsole = console;
        mLogging = new Logging(file.log());
        mLoops = new EventLoops("control-io", file.threads());
        mChannels = Channels.builder(mLoops, mTraffic).build();
        mConfirmer =
                new ReadConfirmer(mCalls, this::offer, mChannels, mBackground, new ElapsedClock());
    }

    private static void backgroundFailed(Throwable failure) {
        Program.endOnError("a task in the background failed", failure);
        sLogger.atSevere().withCause(failure).log("a task in the background failed");
    }

    @Override
    public void start() {
        mLogging.start();
        mChannels.start();
        mStorage = openStorage();
        Recovered recovered = mStorage.recovered();
        mRecoveredEmpty = isEmpty(recovered) && !mStorage.hasDamagedLog();
        ReplicaId self = new ReplicaId(mFile.name(), mStorage.storageId());
        Map<String, String> others = mFile.others();
        listen(self);
        PeerCalls peers = new PeerCalls(self, others, mFile.isOpen(), mChannels, this::offer);
        startReducer(self, others, peers, recovered);
        found(self, peers);
        mConfirmer.begin();
        startMetrics();
        mFile.portFile().ifPresent(f -> PortFile.write(f, mServer.port()));
        mConsole.accept("listening on " + address());
    }

    private LogStorage openStorage() {
        LongSupplier random = new SecureRandom()::nextLong;
        if (mFile.dataFolder().isEmpty()) {
            return noStorage(random);
        }
        Path folder = mFile.dataFolder().get();
        StorageOpener opening = new StorageOpener(mClock, ControlProgram::sleep);
        LongSupplier newDisk = () -> ReplicaId.durableStorageId(random);
        return opening.open(() -> FileLogStorage.openOrReplaceDamaged(folder, newDisk));
    }

    private LogStorage noStorage(LongSupplier random) {
        if (!mFile.isOpen()) {
            throw new LaurelweirException(
                    ResultCode.BAD_SETTINGS_FILE,
                    "data-folder: is missing; only an instance with seeds may do without");
        }
        sLogger.atInfo().log("there is no data folder: this instance learns and never votes");
        return new DisklessLogStorage(ReplicaId.volatileStorageId(random));
    }

    private static void sleep(Duration time) {
        try {
            Thread.sleep(time.toMillis());
        } catch (InterruptedException e) {
            throw new LaurelweirException(ResultCode.SHUTTING_DOWN, "stopped while it started", e);
        }
    }

    /** Returns where the instance is reached. Valid once started. */
    public Endpoint address() {
        Endpoint told = mFile.peers().get(mFile.name());
        return told != null ? told : mFile.listen().withPort(mServer.port());
    }

    private void listen(ReplicaId self) {
        Supplier<List<String>> controls =
                () -> {
                    List<String> all = new ArrayList<>(List.of(address().toString()));
                    all.addAll(mMetrics.peers().orElse(mFile.others().values()));
                    return all;
                };
        mServer =
                RpcServer.builder(mLoops, mTraffic)
                        .listen(mFile.listen().host(), mFile.listen().port())
                        .grace(GRACE)
                        .service(
                                new ControlRpc(
                                        mCalls,
                                        this::offer,
                                        mFile.exchangeInterval(),
                                        controls,
                                        mConfirmer))
                        .service(new PeerRpc(mCalls, this::offer))
                        .service(new ReplicaRpc(self, this::isEmpty, this::offer))
                        .build();
        mServer.start();
    }

    private void startReducer(
            ReplicaId self, Map<String, String> others, PeerCalls peers, Recovered recovered) {
        mLog = new LogWriter(mStorage, this::persisted, Program::halt);
        mEffects =
                new ControlEffects(mCalls, peers, mLog, mCodec, mBackground, this::offer, mMetrics);
        Map<String, String> addresses = new TreeMap<>(others);
        addresses.put(mFile.name(), address().toString());
        long incarnation = mClock.instant().toEpochMilli();
        ReducerLoop<ControlEvent, ControlEffect> loop =
                new ReducerLoop<>(
                        "control",
                        new ControlReducer(
                                config(self, incarnation, addresses),
                                mCodec,
                                self.storageId() ^ incarnation),
                        mClock,
                        new ControlEvent.Tick(),
                        TICK,
                        mEffects,
                        Program::halt);
        // First of all events: before it the replica knows neither its vote nor its log.
        loop.offer(new ControlEvent.ReplicaEvent(recovered));
        mLog.start();
        loop.start();
        mLoop.complete(loop);
    }

    private ControlConfig config(ReplicaId self, long incarnation, Map<String, String> addresses) {
        Duration election = mFile.electionTimeout();
        MembershipConfig defaults = MembershipConfig.builder(mFile.name(), incarnation).build();
        return ControlConfig.builder(self, incarnation, addresses)
                .autoJoin(mFile.isOpen())
                .consensus(
                        ConsensusConfig.builder()
                                .electionTimeout(election)
                                .heartbeatInterval(election.dividedBy(HEARTBEATS_PER_ELECTION))
                                .build())
                .membership(
                        MembershipConfig.builder(mFile.name(), incarnation)
                                .departureTimes(mFile.vanishAfter(), defaults.departedRetention())
                                .build())
                .build();
    }

    private void found(ReplicaId self, PeerCalls peers) {
        if (mFile.isFounder()) {
            new FirstMembership(self, peers, this::isEmpty, this::offer, mBackground).begin();
        }
        if (mRecoveredEmpty && mFile.bootstrapSettings().isPresent()) {
            Map<String, Map<String, String>> nodes = TreeFile.read(mFile.bootstrapSettings().get());
            new FirstSettings(nodes, mFile.name(), mCalls, this::offer, mBackground).begin();
        }
    }

    private void startMetrics() {
        mMetricsServer = new MetricsServer(mFile.metricsListen(), mRegistry, mMetrics);
        mMetricsServer.start();
        int port = mMetricsServer.endpoint().port();
        mFile.metricsPortFile().ifPresent(f -> PortFile.write(f, port));
    }

    /** Returns what a program that embeds this instance may ask of it. Once started. */
    public ControlGateway gateway() {
        return new ControlGateway(mCalls, this::offer);
    }

    private static boolean isEmpty(Recovered r) {
        return r.hardState().isInitial() && r.snapshot().index() == 0 && r.entries().isEmpty();
    }

    private boolean isEmpty() {
        return mRecoveredEmpty && (mEffects == null || !mEffects.hasWritten());
    }

    private void offer(ControlEvent event) {
        mLoop.join().offer(event);
    }

    private void persisted(long sequence) {
        offer(new ControlEvent.ReplicaEvent(new Persisted(sequence)));
    }

    /** While the server still runs: the successor's votes and the last answers pass through it. */
    private void handOver() {
        if (!mLoop.isDone()) {
            return;
        }
        offer(new ControlEvent.ReplicaEvent(new ConsensusEvent.LeadershipTransferRequested()));
        // Whatever happens, the instance stops; the others then elect after their timeout.
        mEffects.handedOver()
                .completeOnTimeout(null, HAND_OVER.toMillis(), TimeUnit.MILLISECONDS)
                .join();
    }

    @Override
    public void stop() {
        handOver();
        if (mServer != null) {
            mServer.stop();
        }
        mBackground.shutdownNow();
        if (mLoop.isDone()) {
            mLoop.join().stop();
            mLog.stop();
            mStorage.close();
        }
        mChannels.stop();
        if (mMetricsServer != null) {
            mMetricsServer.stop();
        }
        mLoops.stop();
        mLogging.stop();
    }
}
