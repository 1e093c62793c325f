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
import java.util.Optional;
import java.util.OptionalInt;
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
import org.laurelweir.control.replica.MembershipBootstrap;
import org.laurelweir.control.replica.SettingsBootstrap;
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
import org.laurelweir.control.storage.StreamRecordWriter;
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

/** A control instance: connects the reducer to its storage, its servers and its peers. */
public final class ControlProgram implements Service {
    private static final FluentLogger sLogger = FluentLogger.forEnclosingClass();
    private static final Duration TICK_INTERVAL = Duration.ofMillis(20);
    private static final Duration SHUTDOWN_GRACE = Duration.ofMillis(500);
    private static final Duration LEADERSHIP_TRANSFER_TIMEOUT = Duration.ofSeconds(2);
    private static final Duration VOTE_HANDOVER_TIMEOUT = Duration.ofSeconds(1);
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
    // Calls may arrive as soon as the server listens. They wait until the loop runs.
    private final CompletableFuture<ReducerLoop<ControlEvent, ControlEffect>> mLoop =
            new CompletableFuture<>();
    private LogStorage mStorage;
    private LogWriter mLogWriter;
    private StreamRecordWriter mStreamRecords;
    private RpcServer mServer;
    private ControlEffects mEffects;
    private MetricsServer mMetricsServer;
    private final ReadConfirmer mConfirmer;
    private boolean mRecoveredEmpty;

    /**
     * Creates an instance that is not started.
     *
     * @param file the instance's settings
     * @param clock tells the current time
     * @param console receives the line with the address on which the instance listens
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
        Program.haltOnError("a task in the background failed", failure);
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
        PeerCalls peers = new PeerCalls(self, others, mFile.isAutoJoin(), mChannels, this::offer);
        startReducer(self, others, peers, recovered);
        bootstrap(self, peers);
        mConfirmer.start();
        startMetrics();
        mFile.portFile().ifPresent(f -> PortFile.write(f, mServer.port()));
        mConsole.accept("listening on " + address());
    }

    private LogStorage openStorage() {
        LongSupplier random = new SecureRandom()::nextLong;
        if (mFile.dataFolder().isEmpty()) {
            return disklessStorage(random);
        }
        Path folder = mFile.dataFolder().get();
        StorageOpener opening = new StorageOpener(mClock, ControlProgram::sleep);
        LongSupplier newStorageId = () -> ReplicaId.durableStorageId(random);
        return opening.open(() -> FileLogStorage.openOrReplaceDamaged(folder, newStorageId));
    }

    private LogStorage disklessStorage(LongSupplier random) {
        if (!mFile.isAutoJoin()) {
            throw new LaurelweirException(
                    ResultCode.BAD_SETTINGS_FILE,
                    "data-folder: is missing; it is optional only for an instance with seeds");
        }
        sLogger.atInfo().log("there is no data folder: this instance learns and never votes");
        return new DisklessLogStorage(ReplicaId.volatileStorageId(random));
    }

    private static void sleep(Duration time) {
        try {
            Thread.sleep(time.toMillis());
        } catch (InterruptedException e) {
            throw new LaurelweirException(
                    ResultCode.SHUTTING_DOWN,
                    "interrupted during the start, while waiting for the disk",
                    e);
        }
    }

    /** Returns the address at which the instance is reached. Valid after {@link #start}. */
    public Endpoint address() {
        Endpoint configured = mFile.peers().get(mFile.name());
        return configured != null ? configured : mFile.listen().withPort(mServer.port());
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
                        .grace(SHUTDOWN_GRACE)
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
        mLogWriter = new LogWriter(mStorage, this::persisted, Program::halt);
        mStreamRecords =
                StreamRecordWriter.open(
                        mFile.dataFolder(),
                        mClock,
                        call -> offer(new ControlEvent.StreamRecordKept(call)));
        mEffects =
                new ControlEffects(
                        mCalls,
                        peers,
                        mLogWriter,
                        mStreamRecords,
                        mCodec,
                        mBackground,
                        this::offer,
                        mMetrics);
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
                        TICK_INTERVAL,
                        mEffects,
                        Program::halt);
        // Must be the first event: it tells the replica its vote and its log.
        loop.offer(new ControlEvent.ReplicaEvent(recovered));
        loop.offer(new ControlEvent.StreamRecordsRestored(mStreamRecords.takenOver()));
        mLogWriter.start();
        mStreamRecords.start();
        loop.start();
        mLoop.complete(loop);
    }

    private ControlConfig config(ReplicaId self, long incarnation, Map<String, String> addresses) {
        Duration election = mFile.electionTimeout();
        MembershipConfig defaults = MembershipConfig.builder(mFile.name(), incarnation).build();
        return ControlConfig.builder(self, incarnation, addresses)
                .autoJoin(mFile.isAutoJoin())
                .regions(mFile.dataCentres())
                .toleratedLosses(toOptionalInt(mFile.toleratedLosses()))
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

    private static OptionalInt toOptionalInt(Optional<Integer> value) {
        return value.map(OptionalInt::of).orElseGet(OptionalInt::empty);
    }

    private void bootstrap(ReplicaId self, PeerCalls peers) {
        if (mFile.mayBootstrap()) {
            new MembershipBootstrap(self, peers, this::isEmpty, this::offer, mBackground).start();
        }
        if (mRecoveredEmpty && mFile.bootstrapSettings().isPresent()) {
            Map<String, Map<String, String>> nodes = TreeFile.read(mFile.bootstrapSettings().get());
            new SettingsBootstrap(nodes, mFile.name(), mCalls, this::offer, mBackground).start();
        }
    }

    private void startMetrics() {
        mMetricsServer = new MetricsServer(mFile.metricsListen(), mRegistry, mMetrics);
        mMetricsServer.start();
        int port = mMetricsServer.endpoint().port();
        mFile.metricsPortFile().ifPresent(f -> PortFile.write(f, port));
    }

    /**
     * Returns the interface for a program that embeds this instance. Valid after {@link #start}.
     */
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

    /**
     * Hands the leadership and the vote over to other instances. Runs before the server stops,
     * since the successor's votes and the last answers pass through it. The instance stops in any
     * case. If the leadership transfer does not end in time, the others elect a leader after their
     * election timeout. If the vote is not handed over in time, a spare takes its place later.
     */
    private void handOver() {
        if (!mLoop.isDone()) {
            return;
        }
        offer(new ControlEvent.ReplicaEvent(new ConsensusEvent.LeadershipTransferRequested()));
        await(mEffects.leadershipTransferEnded(), LEADERSHIP_TRANSFER_TIMEOUT);
        offer(new ControlEvent.ReplicaEvent(new ConsensusEvent.Leaving()));
        await(mEffects.voteHandedOver(), VOTE_HANDOVER_TIMEOUT);
    }

    private static void await(CompletableFuture<Void> end, Duration timeout) {
        end.completeOnTimeout(null, timeout.toMillis(), TimeUnit.MILLISECONDS).join();
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
            mLogWriter.stop();
            mStreamRecords.stop();
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
