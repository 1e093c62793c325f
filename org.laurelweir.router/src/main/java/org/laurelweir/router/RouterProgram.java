package org.laurelweir.router;

import com.codahale.metrics.MetricRegistry;
import java.time.Duration;
import java.time.InstantSource;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.laurelweir.direct.DirectEvent;
import org.laurelweir.lib.AttemptId;
import org.laurelweir.lib.Decision;
import org.laurelweir.lib.Service;
import org.laurelweir.membership.RouterReport;
import org.laurelweir.router.direct.BackendCalls;
import org.laurelweir.router.http.Acceptance;
import org.laurelweir.router.http.CallHandler;
import org.laurelweir.router.http.CallerServer;
import org.laurelweir.router.http.HttpDialect;
import org.laurelweir.router.http.RequestLag;
import org.laurelweir.router.http.UnreadAnswers;
import org.laurelweir.router.request.ModelList;
import org.laurelweir.router.request.RequestResolver;
import org.laurelweir.router.request.RouteResolver;
import org.laurelweir.router.rpc.ClaimCalls;
import org.laurelweir.router.rpc.ControlExchange;
import org.laurelweir.router.rpc.ExplainService;
import org.laurelweir.router.rpc.OriginCalls;
import org.laurelweir.router.rpc.SettingsLease;
import org.laurelweir.router.rpc.SidecarCalls;
import org.laurelweir.router.rpc.UnsentRequests;
import org.laurelweir.routing.RouterConfig;
import org.laurelweir.routing.RouterEffect;
import org.laurelweir.routing.RouterEvent;
import org.laurelweir.routing.RouterReducer;
import org.laurelweir.runtime.config.Endpoint;
import org.laurelweir.runtime.http.PartialRequests;
import org.laurelweir.runtime.http.RequestMemory;
import org.laurelweir.runtime.log.DecisionLog;
import org.laurelweir.runtime.log.DecisionRing;
import org.laurelweir.runtime.log.Logging;
import org.laurelweir.runtime.loop.ReducerLoop;
import org.laurelweir.runtime.metrics.MetricsServer;
import org.laurelweir.runtime.process.ElapsedClock;
import org.laurelweir.runtime.process.Program;
import org.laurelweir.runtime.rpc.Channels;
import org.laurelweir.runtime.rpc.ControlOrder;
import org.laurelweir.runtime.rpc.EarlySocket;
import org.laurelweir.runtime.rpc.EventLoops;
import org.laurelweir.runtime.rpc.ExchangeClient;
import org.laurelweir.runtime.rpc.PortFile;
import org.laurelweir.runtime.rpc.RpcServer;
import org.laurelweir.runtime.rpc.TrafficCounters;
import org.laurelweir.settings.SettingsLookup;

/** A router process: creates, starts and stops all parts of the router. */
public final class RouterProgram implements Service {
    private static final Duration TICK_INTERVAL = Duration.ofMillis(5);
    private static final Duration CONTROL_TIMEOUT = Duration.ofSeconds(1);
    private static final Duration ORIGIN_TIMEOUT = Duration.ofMillis(400);
    private static final Duration REVOKE_TIMEOUT = Duration.ofSeconds(1);

    /** Requests that are not begun may take this part of the memory for requests. */
    private static final int PARTIAL_REQUESTS_DIVISOR = 8;

    private final RouterFile mFile;
    private final InstantSource mClock;
    private final Consumer<String> mOut;
    private final HttpDialect mDialect;
    private final SettingsLease mLease;
    private final Logging mLogging;
    private final MetricRegistry mRegistry = new MetricRegistry();
    private final RouterMetrics mMetrics = new RouterMetrics(mRegistry);
    private final SettingsLookup mSettings;
    private final RouterConfig mConfig;
    private final RequestLag mLag = new RequestLag();
    private final UnreadAnswers mUnreadAnswers;
    private final RequestMemory mRequestMemory;
    private final CallerLimits mLimits;
    private final PartialRequests mPartialRequests;
    private final EventLoops mLoops;
    private final Channels mChannels;
    private final ExchangeClient mExchangeClient;
    private final CallerServer mCallerServer;
    private final Callers mCallers;
    private final DecisionRing mDecisions;
    private final RpcServer mExplainServer;
    private final ControlExchange mExchange;
    private final Effects mEffects;
    private final ReducerLoop<RouterEvent, RouterEffect> mLoop;
    private MetricsServer mMetricsServer;

    /**
     * Creates a router with the default header names. It listens after {@link #start}.
     *
     * @param file the router's settings file
     * @param clock the current time
     * @param out receives one line with the address that the router listens on
     */
    public RouterProgram(RouterFile file, InstantSource clock, Consumer<String> out) {
        this(file, clock, out, HttpDialect.DEFAULT, Optional.empty());
    }

    /**
     * Creates a router for a deployment with its own header names. It listens after {@link #start}.
     *
     * @param file the router's settings file
     * @param clock the current time
     * @param out receives one line with the address that the router listens on
     * @param dialect the names of headers
     * @param socket a socket that already listens for callers, if there is one
     */
    public RouterProgram(
            RouterFile file,
            InstantSource clock,
            Consumer<String> out,
            HttpDialect dialect,
            Optional<EarlySocket> socket) {
        MemoryCheck.check(file, Runtime.getRuntime().maxMemory());
        mFile = file;
        mDialect = dialect;
        mLease = new SettingsLease(new ElapsedClock(), file.keyLease(), file.denialLease());
        mClock = clock;
        mOut = out;
        mLogging = new Logging(file.log());
        mSettings = new SettingsLookup(file.region(), file.dataCentre());
        mConfig = RouterConfigs.of(file, clock.instant());
        mUnreadAnswers = new UnreadAnswers(file.answerMemory().bytes());
        long partialBytes = file.requestMemory().bytes() / PARTIAL_REQUESTS_DIVISOR;
        mPartialRequests = new PartialRequests(partialBytes);
        mRequestMemory = new RequestMemory(file.requestMemory().bytes() - partialBytes);
        mLimits = new CallerLimits(mSettings, mRequestMemory, file.maxDescriptors());
        mLoops = new EventLoops("router-io", file.threads());
        TrafficCounters traffic = new TrafficCounters(mRegistry);
        mChannels = Channels.builder(mLoops, traffic).build();
        mExchangeClient = new ExchangeClient(controls(), file.controlTimeout(), controlOrder());
        traffic.registerExternal(
                "ControlExchange", mExchangeClient::bytesReceived, mExchangeClient::bytesSent);
        RouteResolver routes =
                new RouteResolver(mSettings, dialect, mLease, clock, file.contendedSlotTokens());
        mCallers =
                new Callers(
                        routes,
                        new RequestResolver(mSettings),
                        new ModelList(mSettings),
                        this::offer,
                        mMetrics,
                        this::logDecision);
        mCallerServer = newCallerServer(socket, earlyCallHandler(routes));
        mDecisions = new DecisionRing(file.decisions());
        UnsentRequests unsent = newUnsentRequests(routes);
        mExplainServer =
                RpcServer.builder(mLoops, traffic)
                        .listen(file.explainListen().host(), file.explainListen().port())
                        .service(new ExplainService(mDecisions, unsent))
                        .build();
        SidecarCalls sidecars = new SidecarCalls(mChannels, REVOKE_TIMEOUT, this::offer);
        ClaimCalls claims = new ClaimCalls(mChannels, controls(), CONTROL_TIMEOUT, this::offer);
        OriginCalls origins = newOriginCalls();
        mExchange =
                newExchange(
                        controls -> {
                            claims.setControls(controls);
                            origins.setControls(controls);
                            mExchangeClient.setLearnedAddresses(controls);
                        });
        BackendCalls calls =
                new BackendCalls(mLoops, mDialect, e -> offer(new RouterEvent.Direct(e)));
        mEffects =
                new Effects(
                        mCallers,
                        sidecars,
                        claims,
                        mExchange,
                        calls,
                        origins,
                        unsent,
                        this::logDecision,
                        mMetrics);
        mLoop = newLoop(sidecars, calls);
    }

    private CallerServer newCallerServer(Optional<EarlySocket> socket, CallHandler handler) {
        return new CallerServer(
                mLoops,
                mFile.listen(),
                socket,
                handler,
                mLimits::get,
                this::requestName,
                mDialect,
                acceptance());
    }

    private ControlExchange newExchange(Consumer<List<String>> onControls) {
        return new ControlExchange(
                mExchangeClient, this::report, mSettings, this::offer, onControls, mClock, mLease);
    }

    private EarlyCallHandler earlyCallHandler(RouteResolver routes) {
        return new EarlyCallHandler(
                mCallers, routes::isReady, routes::callerTimeout, mLoops.group(), mClock);
    }

    private Acceptance acceptance() {
        return new Acceptance(
                mLag,
                mClock,
                mMetrics::countClosedUnread,
                mUnreadAnswers,
                mRequestMemory,
                mPartialRequests);
    }

    private UnsentRequests newUnsentRequests(RouteResolver routes) {
        return new UnsentRequests(mFile.name(), routes, e -> offer(new RouterEvent.Direct(e)));
    }

    private OriginCalls newOriginCalls() {
        return new OriginCalls(
                mChannels,
                controls(),
                mFile.listen().host(),
                mConfig.name().hashCode(),
                ORIGIN_TIMEOUT,
                e -> offer(new RouterEvent.Direct(e)));
    }

    private ReducerLoop<RouterEvent, RouterEffect> newLoop(
            SidecarCalls sidecars, BackendCalls calls) {
        RouterReducer reducer = new RouterReducer(mConfig);
        mMetrics.registerHedges(reducer.hedgeCounts());
        mMetrics.registerNotices(reducer.noticeCounts());
        mMetrics.registerWaiting(reducer.waitingCounts());
        return new ReducerLoop<>(
                "router-decide",
                (now, event, effects) -> {
                    reducer.step(now, event, effects);
                    sidecars.closeStreamAfter(event);
                    calls.onProcessed(event);
                    countDecided(event);
                },
                mClock,
                new RouterEvent.Tick(),
                TICK_INTERVAL,
                mEffects,
                Program::halt);
    }

    private List<String> controls() {
        int port = mFile.controlPort();
        return mFile.controls().stream()
                .map(c -> port == 0 ? c : c.withPort(port))
                .map(Endpoint::toString)
                .toList();
    }

    private ControlOrder controlOrder() {
        return switch (mFile.controlOrder()) {
            case GIVEN -> ControlOrder.GIVEN;
            case SPREAD -> ControlOrder.spread(mFile.name(), mFile.listen().host());
        };
    }

    private void logDecision(Decision decision) {
        DecisionLog.write(decision);
        mDecisions.add(decision);
    }

    private void offer(RouterEvent event) {
        if (isArrival(event)) {
            mLag.onRead();
        }
        mLoop.offer(event);
    }

    private void countDecided(RouterEvent event) {
        if (isArrival(event)) {
            mLag.onDecided();
        }
    }

    private static boolean isArrival(RouterEvent event) {
        return event instanceof RouterEvent.RequestArrived
                || event instanceof RouterEvent.Direct d
                        && d.event() instanceof DirectEvent.RequestArrived;
    }

    private String requestName(long caller) {
        return new AttemptId(mConfig.name(), mConfig.incarnation(), caller, 1).requestName();
    }

    @Override
    public void start() {
        mLogging.start();
        mChannels.start();
        mExplainServer.start();
        mCallerServer.start();
        mLoop.start();
        startMetrics();
        Endpoint endpoint = mCallerServer.endpoint();
        mFile.portFile().ifPresent(f -> PortFile.write(f, endpoint.port()));
        mOut.accept("listening on " + endpoint);
    }

    private RouterReport report() {
        Endpoint explain = mFile.explainListen().withPort(mExplainServer.port());
        return new RouterReport(
                mFile.name(),
                mConfig.incarnation(),
                mFile.dataCentre(),
                mFile.region(),
                mCallerServer.endpoint().toString(),
                explain.toString());
    }

    private void startMetrics() {
        mMetrics.registerInFlight(
                mCallers::count, () -> mCallers.waitingBytes() + mUnreadAnswers.bytes());
        mMetrics.registerRequestMemory(mRequestMemory);
        mMetricsServer = new MetricsServer(mFile.metricsListen(), mRegistry, mExchange);
        mMetricsServer.start();
        int port = mMetricsServer.endpoint().port();
        mFile.metricsPortFile().ifPresent(f -> PortFile.write(f, port));
    }

    /** Returns the address for callers. The router must have been started. */
    public Endpoint endpoint() {
        return mCallerServer.endpoint();
    }

    /** Returns the address of metrics, health and readiness. The router must have been started. */
    public Endpoint metricsEndpoint() {
        return mMetricsServer.endpoint();
    }

    /**
     * Stops the router without truncating an answer. The router reports that it is not ready and
     * serves on for the leave delay. Then it closes the listener, waits for the requests in flight,
     * and stops all parts.
     */
    @Override
    public void stop() {
        mExchange.markStopping();
        mCallerServer.closeAfterAnswers();
        awaitLeaveDelay();
        mCallerServer.drain();
        mCallerServer.awaitClosed(mFile.stopTimeout());
        mLoop.offer(new RouterEvent.StopRequested());
        awaitStopped();
        mLoop.stop();
        mCallerServer.stop();
        mExplainServer.stop();
        mExchangeClient.stop();
        mChannels.stop();
        mMetricsServer.stop();
        mLoops.stop();
        mLogging.stop();
    }

    private void awaitLeaveDelay() {
        try {
            Thread.sleep(mFile.leaveDelay().toMillis());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void awaitStopped() {
        try {
            mEffects.stopped().await(mFile.stopTimeout().toMillis(), TimeUnit.MILLISECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
