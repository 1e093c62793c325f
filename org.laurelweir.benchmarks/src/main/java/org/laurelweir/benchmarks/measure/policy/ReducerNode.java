package org.laurelweir.benchmarks.measure.policy;

import java.time.Duration;
import java.time.Instant;
import java.time.temporal.ChronoUnit;
import java.util.List;
import java.util.Set;
import java.util.function.BiConsumer;
import org.laurelweir.admission.SidecarEffect;
import org.laurelweir.admission.SidecarEvent;
import org.laurelweir.admission.SidecarIdentity;
import org.laurelweir.admission.SidecarReducer;
import org.laurelweir.admission.SidecarSettings;
import org.laurelweir.attempt.Frame;
import org.laurelweir.benchmarks.measure.Deployment;
import org.laurelweir.benchmarks.measure.fleet.Engine;
import org.laurelweir.benchmarks.measure.fleet.Fleet;
import org.laurelweir.benchmarks.measure.fleet.Request;
import org.laurelweir.lib.AttemptId;
import org.laurelweir.membership.Backend;
import org.laurelweir.membership.MembershipCursor;
import org.laurelweir.membership.MembershipDelta;
import org.laurelweir.membership.ServiceLoad;
import org.laurelweir.placement.BoundConfig;
import org.laurelweir.placement.Candidate;
import org.laurelweir.placement.ServiceView;
import org.laurelweir.placement.WorkEstimate;

/** One engine with its sidecar's reducer. */
final class ReducerNode {
    private static final long TICK_MICROS = 250_000;
    private static final int MAX_QUEUED_REQUESTS = 64;
    private static final long MAX_QUEUED_BYTES = 16L << 20;

    /** Short, since every tick scans all attempts whose output is kept. */
    private static final Duration OUTPUT_RETENTION = Duration.ofSeconds(1);

    /** Longer than any run. */
    private static final Duration UNREACHED_TIMEOUT = Duration.ofDays(1);

    private final Fleet mFleet;
    private final Engine mEngine;
    private final double mMeanCeiling;
    private final BiConsumer<ReducerNode, SidecarEffect> mEffectHandler;
    private final SidecarReducer mReducer;

    ReducerNode(
            Fleet fleet,
            Engine engine,
            double ceiling,
            BiConsumer<ReducerNode, SidecarEffect> effectHandler) {
        mMeanCeiling = ceiling / fleet.deployment().bound().factor();
        mFleet = fleet;
        mEngine = engine;
        mEffectHandler = effectHandler;
        Candidate c = engine.candidate();
        mReducer =
                new SidecarReducer(
                        new SidecarIdentity(
                                c.ref(), service(), c.dataCentre(), "region", c.id(), c.weight()));
        step(new SidecarEvent.SettingsChanged(settings()));
        tick();
    }

    Engine engine() {
        return mEngine;
    }

    private String service() {
        return "service-" + mEngine.service();
    }

    private SidecarSettings settings() {
        Deployment.Bound b = mFleet.deployment().bound();
        return new SidecarSettings(
                new BoundConfig(
                        b.factor(),
                        b.headroom(),
                        b.openFactor(),
                        b.capacityFloor(),
                        b.prefillWeight(),
                        b.maxRedirects()),
                new SidecarSettings.QueueLimits(
                        MAX_QUEUED_REQUESTS, MAX_QUEUED_BYTES, Duration.ofMillis(b.waitMillis())),
                new SidecarSettings.OutputLimits(Long.MAX_VALUE, Long.MAX_VALUE, OUTPUT_RETENTION),
                UNREACHED_TIMEOUT,
                UNREACHED_TIMEOUT,
                (int) mFleet.deployment().chats().output().mean(),
                mFleet.deployment().engine().cacheTokens(),
                Set.of());
    }

    /** Passes an event to the reducer, unless the engine has crashed. */
    void step(SidecarEvent event) {
        if (mEngine.isAlive()) {
            Instant now = Instant.EPOCH.plus(mFleet.now(), ChronoUnit.MICROS);
            mReducer.step(now, event, effect -> mEffectHandler.accept(this, effect));
        }
    }

    private void tick() {
        mFleet.schedule(
                TICK_MICROS,
                () -> {
                    step(new SidecarEvent.Tick());
                    if (mEngine.isAlive()) {
                        tick();
                    }
                });
    }

    void onAnswerHead(AttemptId attempt) {
        step(new SidecarEvent.EngineHeadReceived(attempt, 200, List.of()));
    }

    void onFinished(Request request) {
        WorkEstimate work = request.placement().work();
        Frame.Usage usage = new Frame.Usage(work.promptTokens(), 0, request.turn().output());
        step(new SidecarEvent.EngineFinished(request.attempt(), usage));
    }

    /** Answers the reducer's exchange in place of a control instance. */
    void onExchange(MembershipCursor cursor) {
        ServiceView view = mFleet.sidecarView(mEngine);
        MembershipCursor latest = new MembershipCursor("control", 1, view.version());
        boolean unchanged = latest.equals(cursor);
        List<Backend> backends =
                unchanged ? List.of() : view.candidates().stream().map(this::backend).toList();
        double mean = Math.min(mMeanCeiling, mFleet.reportedMean(mEngine.service()));
        step(
                new SidecarEvent.ExchangeAnswered(
                        new MembershipDelta(latest, !unchanged, backends),
                        List.of(new ServiceLoad(service(), mean, view.size())),
                        true,
                        mEngine.isDraining(),
                        0));
    }

    private Backend backend(Candidate c) {
        Backend.State state = c.draining() ? Backend.State.DRAINING : Backend.State.SERVING;
        return new Backend(
                c.ref(), service(), c.dataCentre(), "region", c.id(), state, c.weight(), 1);
    }
}
