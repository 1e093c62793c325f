package org.laurelweir.sidecar;

import com.codahale.metrics.MetricRegistry;
import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.time.InstantSource;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.laurelweir.admission.SidecarEffect;
import org.laurelweir.admission.SidecarEvent;
import org.laurelweir.admission.SidecarIdentity;
import org.laurelweir.admission.SidecarReducer;
import org.laurelweir.lib.BackendRef;
import org.laurelweir.lib.Service;
import org.laurelweir.runtime.config.Endpoint;
import org.laurelweir.runtime.log.DecisionRing;
import org.laurelweir.runtime.log.Logging;
import org.laurelweir.runtime.loop.ReducerLoop;
import org.laurelweir.runtime.metrics.MetricsServer;
import org.laurelweir.runtime.process.Program;
import org.laurelweir.runtime.rpc.Channels;
import org.laurelweir.runtime.rpc.EventLoops;
import org.laurelweir.runtime.rpc.ExchangeClient;
import org.laurelweir.runtime.rpc.PortFile;
import org.laurelweir.runtime.rpc.RpcServer;
import org.laurelweir.runtime.rpc.TrafficCounters;
import org.laurelweir.settings.SettingsContext;
import org.laurelweir.sidecar.backend.BackendClient;
import org.laurelweir.sidecar.backend.BackendOrders;
import org.laurelweir.sidecar.backend.BackendProbe;
import org.laurelweir.sidecar.rpc.AttemptStreams;
import org.laurelweir.sidecar.rpc.ControlExchange;
import org.laurelweir.sidecar.rpc.PeerSidecars;
import org.laurelweir.sidecar.rpc.SidecarService;

/** The sidecar: creates its components and connects, starts and stops them. */
public final class SidecarProgram implements Service {
    private static final FluentLogger sLogger = FluentLogger.forEnclosingClass();

    /** How often the reducer checks timeouts; shorter than any duration that settings allow. */
    private static final Duration TICK_INTERVAL = Duration.ofMillis(20);

    private static final Duration CONTROL_TIMEOUT = Duration.ofSeconds(1);
    private static final Duration LAST_EXCHANGE_TIMEOUT = Duration.ofSeconds(2);

    /** The decision loop ends a stop after drain.timeout, whose maximum is one day. */
    private static final Duration MAX_STOP_TIME = Duration.ofDays(1).plusMinutes(1);

    private final SidecarFile mFile;
    private final Consumer<String> mOut;
    private final Logging mLogging;
    private final MetricRegistry mRegistry = new MetricRegistry();
    private final EventLoops mLoops;
    private final Channels mChannels;
    private final ExchangeClient mExchangeClient;
    private final ControlExchange mExchange;
    private final BackendProbe mProbe;
    private final RpcServer mServer;
    private final Effects mEffects;
    private final ReducerLoop<SidecarEvent, SidecarEffect> mLoop;
    private final long mIncarnation;
    private volatile SidecarIdentity mIdentity;
    private SidecarReducer mReducer;
    private MetricsServer mMetricsServer;

    /**
     * Creates a sidecar that listens once started.
     *
     * @param file its settings file
     * @param clock the source of time; the time of the call becomes the incarnation
     * @param out takes the line that names the address it listens on
     */
    public SidecarProgram(SidecarFile file, InstantSource clock, Consumer<String> out) {
        mFile = file;
        mOut = out;
        mIncarnation = clock.millis();
        mLogging = new Logging(file.log());
        mLoops = new EventLoops("sidecar-io", file.threads());
        TrafficCounters traffic = new TrafficCounters(mRegistry);
        mChannels = Channels.builder(mLoops, traffic).build();
        mExchangeClient =
                new ExchangeClient(
                        file.controls().stream().map(Endpoint::toString).toList(), CONTROL_TIMEOUT);
        mExchange = createExchange(file);
        BackendClient backend = new BackendClient(mLoops, file.backend(), this::offer);
        mProbe = new BackendProbe(mLoops, backend, this::offer);
        DecisionRing ring = new DecisionRing(file.decisions());
        AttemptStreams streams = new AttemptStreams(this::offer);
        SidecarService service = new SidecarService(streams, ring, this::offer);
        traffic.registerExternal(
                "ControlExchange", mExchangeClient::bytesReceived, mExchangeClient::bytesSent);
        mServer =
                RpcServer.builder(mLoops, traffic)
                        .listen(file.listen().host(), file.listen().port())
                        .service(service)
                        .build();
        mEffects =
                new Effects(
                        new Effects.Collaborators(
                                streams,
                                service,
                                backend,
                                new BackendOrders(backend, file.ordersPath()),
                                new PeerSidecars(
                                        mChannels, file.name(), file.service(), this::offer),
                                mExchange,
                                ring,
                                createMetrics(),
                                this::onSuperseded));
        mLoop =
                new ReducerLoop<>(
                        "sidecar-decide",
                        (now, event, effects) -> mReducer.step(now, event, effects),
                        clock,
                        new SidecarEvent.Tick(),
                        TICK_INTERVAL,
                        mEffects,
                        Program::halt);
    }

    private ControlExchange createExchange(SidecarFile file) {
        SettingsContext context =
                SettingsContext.of(file.region(), file.dataCentre()).with(file.service(), null);
        return new ControlExchange(
                mExchangeClient, context, Set.copyOf(file.refusalStatuses()), this::offer);
    }

    private SidecarMetrics createMetrics() {
        SidecarMetrics metrics = new SidecarMetrics(mRegistry);
        metrics.registerControlBytes(mExchangeClient::bytesSent, mExchangeClient::bytesReceived);
        return metrics;
    }

    private void offer(SidecarEvent event) {
        mLoop.offer(event);
    }

    @Override
    public void start() {
        mLogging.start();
        mChannels.start();
        // The reducer has to know the port, so the server starts before the loop. Events that
        // arrive in between wait in the loop's queue.
        mServer.start();
        mIdentity = createIdentity();
        mReducer = new SidecarReducer(mIdentity);
        mLoop.offer(new SidecarEvent.SettingsChanged(mExchange.settings()));
        mLoop.start();
        mProbe.start();
        startMetrics();
        mFile.portFile().ifPresent(f -> PortFile.write(f, mServer.port()));
        mOut.accept("listening on " + endpoint());
    }

    private SidecarIdentity createIdentity() {
        return new SidecarIdentity(
                new BackendRef(mFile.name(), mIncarnation),
                mFile.service(),
                mFile.dataCentre(),
                mFile.region(),
                mFile.announce().orElseGet(this::endpoint).toString(),
                mFile.weight(),
                mFile.version().orElse(""));
    }

    /**
     * Takes an incarnation later than the one that control knows. The clock went back between two
     * starts, so that routers know a previous run whose incarnation is higher. This is safe while
     * no attempt has begun here: no attempt then refers to the incarnation that is given up.
     */
    private void onSuperseded(SidecarEffect.Superseded effect) {
        if (!effect.idle()) {
            sLogger.atSevere().atMostEvery(10, TimeUnit.SECONDS).log(
                    "another sidecar runs as %s, with incarnation %d",
                    mFile.name(), effect.incarnation());
            return;
        }
        sLogger.atWarning().log(
                "the clock went back: incarnation %d follows %d",
                effect.incarnation() + 1, mIdentity.ref().incarnation());
        mIdentity = mIdentity.withIncarnation(effect.incarnation() + 1);
        mReducer = new SidecarReducer(mIdentity);
        mLoop.offer(new SidecarEvent.SettingsChanged(mExchange.settings()));
        // The probe reports changes only, and an earlier reducer may have received the last one.
        mLoop.offer(new SidecarEvent.EngineReachabilityChanged(mProbe.notReadyReason().isEmpty()));
    }

    private void startMetrics() {
        mMetricsServer = new MetricsServer(mFile.metricsListen(), mRegistry, mProbe);
        mMetricsServer.start();
        int port = mMetricsServer.endpoint().port();
        mFile.metricsPortFile().ifPresent(f -> PortFile.write(f, port));
    }

    /** Returns the backend server's name and incarnation. Valid once started. */
    public BackendRef self() {
        return mIdentity.ref();
    }

    /** Returns the address that the sidecar listens on for routers. Valid once started. */
    public Endpoint endpoint() {
        return mFile.listen().withPort(mServer.port());
    }

    /**
     * Stops without cutting an answer short: the sidecar rejects new attempts, waits until running
     * attempts have ended, reports to control that it departed, then stops its components.
     */
    @Override
    public void stop() {
        mLoop.offer(new SidecarEvent.StopRequested());
        try {
            mEffects.stoppedLatch().await(MAX_STOP_TIME.toMillis(), TimeUnit.MILLISECONDS);
            mExchange.awaitIdle(LAST_EXCHANGE_TIMEOUT);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        mServer.stop();
        mProbe.stop();
        mLoop.stop();
        mExchangeClient.stop();
        mChannels.stop();
        mMetricsServer.stop();
        mLoops.stop();
        mLogging.stop();
    }
}
