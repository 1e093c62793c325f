package org.laurelweir.sidecar;

import com.codahale.metrics.MetricRegistry;
import java.time.Duration;
import java.time.InstantSource;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.laurelweir.admission.SidecarEffect;
import org.laurelweir.admission.SidecarEvent;
import org.laurelweir.admission.SidecarIdentity;
import org.laurelweir.admission.SidecarReducer;
import org.laurelweir.admission.SidecarSettings;
import org.laurelweir.lib.BackendRef;
import org.laurelweir.lib.ResultCode;
import org.laurelweir.lib.Service;
import org.laurelweir.runtime.config.Endpoint;
import org.laurelweir.runtime.log.Logging;
import org.laurelweir.runtime.loop.ReducerLoop;
import org.laurelweir.runtime.metrics.MetricsServer;
import org.laurelweir.runtime.process.Program;
import org.laurelweir.runtime.rpc.EventLoops;
import org.laurelweir.runtime.rpc.ExchangeClient;
import org.laurelweir.runtime.rpc.PortFile;
import org.laurelweir.runtime.rpc.RpcServer;
import org.laurelweir.runtime.rpc.TrafficCounters;
import org.laurelweir.sidecar.backend.BackendClient;
import org.laurelweir.sidecar.rpc.AttemptStreams;
import org.laurelweir.sidecar.rpc.ControlExchange;
import org.laurelweir.sidecar.rpc.SidecarService;

/** A sidecar with all of its parts. */
public final class SidecarProgram implements Service {
    private static final Duration TICK = Duration.ofMillis(5);
    private static final Duration CONTROL_TIMEOUT = Duration.ofSeconds(1);
    private static final Duration LAST_EXCHANGE_TIMEOUT = Duration.ofSeconds(2);
    private static final Duration STOP_MARGIN = Duration.ofSeconds(5);

    private final SidecarFile mFile;
    private final BackendRef mSelf;
    private final Consumer<String> mOut;
    private final Logging mLogging;
    private final MetricRegistry mRegistry = new MetricRegistry();
    private final EventLoops mLoops;
    private final AttemptStreams mStreams = new AttemptStreams(this::offer);
    private final SidecarService mService = new SidecarService(mStreams, this::offer);
    private final BackendClient mBackend;
    private final ExchangeClient mExchangeClient;
    private final ControlExchange mExchange;
    private final RpcServer mServer;
    private final Effects mEffects;
    private final ReducerLoop<SidecarEvent, SidecarEffect> mLoop;
    private SidecarReducer mReducer;
    private MetricsServer mMetricsServer;

    /**
     * Creates a sidecar; it listens once started.
     *
     * @param file its settings file
     * @param clock the time
     * @param out takes the line that tells where it listens
     */
    public SidecarProgram(SidecarFile file, InstantSource clock, Consumer<String> out) {
        mFile = file;
        mSelf = new BackendRef(file.name(), clock.millis());
        mOut = out;
        mLogging = new Logging(file.log());
        mLoops = new EventLoops("sidecar-io", file.threads());
        mBackend = new BackendClient(mLoops, file.backend(), this::offer);
        mExchangeClient =
                new ExchangeClient(
                        file.controls().stream().map(Endpoint::toString).toList(), CONTROL_TIMEOUT);
        mExchange = new ControlExchange(mExchangeClient, this::offer);
        TrafficCounters traffic = new TrafficCounters(mRegistry);
        traffic.show("ControlExchange", mExchangeClient::bytesReceived, mExchangeClient::bytesSent);
        mServer =
                RpcServer.builder(mLoops, traffic)
                        .listen(file.listen().host(), file.listen().port())
                        .service(mService)
                        .build();
        mEffects = new Effects(mStreams, mService, mBackend, mExchange);
        mLoop =
                new ReducerLoop<>(
                        "sidecar-decide",
                        (now, event, effects) -> mReducer.step(now, event, effects),
                        clock,
                        new SidecarEvent.Tick(),
                        TICK,
                        mEffects,
                        f -> Program.halt(ResultCode.INTERNAL));
    }

    private void offer(SidecarEvent event) {
        mLoop.offer(event);
    }

    @Override
    public void start() {
        mLogging.start();
        // What arrives before the loop starts waits in it: the reducer has to know the port first.
        mServer.start();
        mReducer = new SidecarReducer(identity());
        mLoop.start();
        startMetrics();
        mFile.portFile().ifPresent(f -> PortFile.write(f, mServer.port()));
        mOut.accept("listening on " + endpoint());
    }

    private SidecarIdentity identity() {
        return new SidecarIdentity(
                mSelf,
                mFile.service(),
                mFile.dataCentre(),
                mFile.region(),
                mFile.announce().orElseGet(this::endpoint).toString(),
                mFile.weight());
    }

    private void startMetrics() {
        mMetricsServer = new MetricsServer(mFile.metricsListen(), mRegistry, Optional::empty);
        mMetricsServer.start();
        int port = mMetricsServer.endpoint().port();
        mFile.metricsPortFile().ifPresent(f -> PortFile.write(f, port));
    }

    /** Returns the backend server's name and this run's incarnation. */
    public BackendRef self() {
        return mSelf;
    }

    /** Returns where routers reach the sidecar. Once started. */
    public Endpoint endpoint() {
        return mFile.listen().withPort(mServer.port());
    }

    /**
     * Stops without cutting an answer short: nothing new is taken, what runs ends, control hears
     * that the sidecar left, then the rest goes.
     */
    @Override
    public void stop() {
        mLoop.offer(new SidecarEvent.StopRequested());
        try {
            Duration most = SidecarSettings.DEFAULT.drainTimeout().plus(STOP_MARGIN);
            mEffects.stopped().await(most.toMillis(), TimeUnit.MILLISECONDS);
            mExchange.awaitIdle(LAST_EXCHANGE_TIMEOUT);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        mServer.stop();
        mLoop.stop();
        mExchangeClient.stop();
        mMetricsServer.stop();
        mLoops.stop();
        mLogging.stop();
    }
}
