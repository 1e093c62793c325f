package org.laurelweir.benchmarks.measure.fleet;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.laurelweir.benchmarks.measure.Deployment;
import org.laurelweir.benchmarks.measure.workload.Turn;
import org.laurelweir.placement.ServiceView;
import org.laurelweir.placement.ViewChange;
import org.laurelweir.placement.WorkEstimate;

/** The engines of a deployment and the views that routers and sidecars have of them. */
public final class Fleet {
    private static final long MICROS_PER_MILLI = 1000;
    private static final int SIDECAR_SEED_OFFSET = 1 << 20;

    private final Deployment mDeployment;
    private final Map<String, Engine> mEngines = new LinkedHashMap<>();
    private final List<List<Engine>> mEnginesByService = new ArrayList<>();
    private final List<ViewTimeline> mTimelines = new ArrayList<>();
    private final List<List<ViewTimeline.Observer>> mRouterObservers = new ArrayList<>();
    private final Map<Engine, ViewTimeline.Observer> mSidecarObservers = new LinkedHashMap<>();
    private final double[] mReportedMeans;
    private final Timers mTimers = new Timers();
    private final ControlBytes mControlBytes = new ControlBytes();
    private final RunMeasurements mMeasurements;
    private final int mExpectedOutputTokens;
    private final long mSeed;
    private Scheme mScheme;
    private long mNow;

    Fleet(Deployment deployment, RunMeasurements figures, long seed) {
        mDeployment = deployment;
        mMeasurements = figures;
        mSeed = seed;
        mReportedMeans = new double[deployment.services().size()];
        mExpectedOutputTokens = (int) deployment.chats().output().mean();
        for (int s = 0; s < mReportedMeans.length; s++) {
            addService(s);
        }
    }

    private void addService(int service) {
        Deployment.ServiceSpec spec = mDeployment.services().get(service);
        mEnginesByService.add(new ArrayList<>());
        List<ViewChange> joins = new ArrayList<>();
        for (int i = 0; i < spec.workers(); i++) {
            Engine e = newEngine(ChurnPlan.engineName(spec.name(), i), service);
            joins.add(new ViewChange.Join(e.candidate()));
        }
        ViewTimeline timeline = new ViewTimeline(ServiceView.empty(spec.name()).apply(1, joins));
        mTimelines.add(timeline);
        List<ViewTimeline.Observer> routers = new ArrayList<>();
        long lag = mDeployment.lags().routerMillis() * MICROS_PER_MILLI;
        for (int r = 0; r < mDeployment.routers(); r++) {
            routers.add(timeline.newObserver(lag, mSeed + r * 31L + service));
        }
        mRouterObservers.add(routers);
        mEnginesByService.get(service).forEach(this::addSidecar);
    }

    private Engine newEngine(String id, int service) {
        Engine e = new Engine(mDeployment.engine(), id, service);
        mEngines.put(id, e);
        mEnginesByService.get(service).add(e);
        return e;
    }

    private void addSidecar(Engine engine) {
        long lag = mDeployment.lags().sidecarMillis() * MICROS_PER_MILLI;
        long seed = mSeed + SIDECAR_SEED_OFFSET + mSidecarObservers.size();
        mSidecarObservers.put(engine, mTimelines.get(engine.service()).newObserver(lag, seed));
    }

    public Deployment deployment() {
        return mDeployment;
    }

    /** Returns the virtual time in microseconds. */
    public long now() {
        return mNow;
    }

    public ControlBytes controlBytes() {
        return mControlBytes;
    }

    RunMeasurements figures() {
        return mMeasurements;
    }

    Timers timers() {
        return mTimers;
    }

    /** Returns an engine by name, or null. */
    public Engine engine(String id) {
        return mEngines.get(id);
    }

    /** Returns all engines of a service, with those that have left. */
    public List<Engine> engines(int service) {
        return mEnginesByService.get(service);
    }

    /** Returns a router's current view of a service. */
    public ServiceView routerView(int router, int service) {
        return mRouterObservers.get(service).get(router).view(mNow);
    }

    /** Returns the newest view of a service, without lag. */
    public ServiceView latestView(int service) {
        return mTimelines.get(service).latest();
    }

    /** Returns the current view that an engine's sidecar has of its service. */
    public ServiceView sidecarView(Engine engine) {
        return mSidecarObservers.get(engine).view(mNow);
    }

    /**
     * Returns the mean work of a service's engines as last reported, one to two report periods old.
     */
    public double reportedMean(int service) {
        return mReportedMeans[service];
    }

    /** Runs an action after a delay in microseconds of virtual time. */
    public void schedule(long micros, Runnable action) {
        mTimers.add(mNow + micros, action);
    }

    /** Assigns a request to an engine for good. */
    public void start(Request request, Engine engine) {
        WorkEstimate work = request.workAt(engine);
        engine.accept(request, work.units(mDeployment.bound().prefillWeight()));
        double skew = mMeasurements.skew(engine, RunMeasurements.mean(engines(engine.service())));
        mMeasurements.onStart(request, work.cachedTokens(), skew, mNow);
        startQueued(engine);
    }

    /** Rejects a request; its caller learns that it was not run. */
    public void reject(Request request) {
        mMeasurements.onReject(request, mNow);
    }

    private void startQueued(Engine engine) {
        for (Request r = engine.pollStartable(); r != null; r = engine.pollStartable()) {
            Request started = r;
            long end = engine.begin(r, r.workAt(engine).uncachedTokens(), mNow);
            mMeasurements.onFirstToken(r, r.firstTokenAt(), mNow);
            mTimers.add(end, () -> end(started, engine));
        }
    }

    private void end(Request request, Engine engine) {
        if (engine.end(request)) {
            startQueued(engine);
            mScheme.onEnd(engine, request);
        }
    }

    Request newRequest(Turn turn) {
        return new Request(turn, mExpectedOutputTokens);
    }

    void setScheme(Scheme scheme) {
        mScheme = scheme;
    }

    void advance(long now) {
        mNow = now;
    }

    /** Collects the load reports of all engines. */
    void report() {
        for (int s = 0; s < mReportedMeans.length; s++) {
            List<Engine> alive = mEnginesByService.get(s).stream().filter(Engine::isAlive).toList();
            alive.forEach(Engine::report);
            mReportedMeans[s] =
                    alive.stream().mapToDouble(Engine::reportedWork).average().orElse(0);
        }
    }

    /** Applies a membership event to its engine and to the views. */
    void applyEvent(MembershipEvent event) {
        ViewTimeline timeline = mTimelines.get(event.service());
        Engine e = mEngines.get(event.engine());
        switch (event.kind()) {
            case JOIN -> join(event, timeline);
            case DRAIN -> {
                e.setDraining();
                publish(timeline, new ViewChange.Drain(e.id()));
                mScheme.onDrain(e);
            }
            case CRASH -> crash(e);
            case RETURN -> {
                publish(timeline, new ViewChange.Join(e.candidate()));
                mScheme.onJoin(e);
            }
            default -> {
                publish(timeline, new ViewChange.Leave(e.id()));
                mScheme.onDrop(e);
            }
        }
    }

    private void join(MembershipEvent event, ViewTimeline timeline) {
        Engine e = newEngine(event.engine(), event.service());
        addSidecar(e);
        publish(timeline, new ViewChange.Join(e.candidate()));
        mScheme.onJoin(e);
    }

    private void crash(Engine engine) {
        for (Request r : engine.crash()) {
            if (r.firstTokenAt() <= mNow) {
                mMeasurements.onAnswerCut(r, mNow);
                continue;
            }
            // No part of the answer has been sent, so the router can retry on another engine.
            mMeasurements.onRetry(r);
            schedule(
                    mDeployment.lags().detectMillis() * MICROS_PER_MILLI,
                    () -> {
                        r.restart();
                        mScheme.onArrival(r);
                    });
        }
    }

    private void publish(ViewTimeline timeline, ViewChange change) {
        timeline.change(mNow, change);
        mControlBytes.addPerWorker((long) ControlBytes.VIEW_CHANGE * mDeployment.routers());
    }
}
