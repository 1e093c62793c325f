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

/** The engines of a deployment and what routers and sidecars know of them. */
public final class Fleet {
    private static final long MICROS_PER_MILLI = 1000;
    private static final int SIDECARS = 1 << 20;

    private final Deployment mDeployment;
    private final Map<String, Engine> mEngines = new LinkedHashMap<>();
    private final List<List<Engine>> mByService = new ArrayList<>();
    private final List<ViewTimeline> mTimelines = new ArrayList<>();
    private final List<List<ViewTimeline.Observer>> mRouters = new ArrayList<>();
    private final Map<Engine, ViewTimeline.Observer> mSidecars = new LinkedHashMap<>();
    private final double[] mMeans;
    private final Timers mTimers = new Timers();
    private final ControlBytes mControl = new ControlBytes();
    private final Figures mFigures;
    private final int mExpectedOutput;
    private final long mSeed;
    private Scheme mScheme;
    private long mNow;

    Fleet(Deployment deployment, Figures figures, long seed) {
        mDeployment = deployment;
        mFigures = figures;
        mSeed = seed;
        mMeans = new double[deployment.services().size()];
        mExpectedOutput = (int) deployment.chats().output().mean();
        for (int s = 0; s < mMeans.length; s++) {
            addService(s);
        }
    }

    private void addService(int service) {
        Deployment.ServiceSpec spec = mDeployment.services().get(service);
        mByService.add(new ArrayList<>());
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
        mRouters.add(routers);
        mByService.get(service).forEach(this::addSidecar);
    }

    private Engine newEngine(String id, int service) {
        Engine e = new Engine(mDeployment.engine(), id, service);
        mEngines.put(id, e);
        mByService.get(service).add(e);
        return e;
    }

    private void addSidecar(Engine engine) {
        long lag = mDeployment.lags().sidecarMillis() * MICROS_PER_MILLI;
        long seed = mSeed + SIDECARS + mSidecars.size();
        mSidecars.put(engine, mTimelines.get(engine.service()).newObserver(lag, seed));
    }

    public Deployment deployment() {
        return mDeployment;
    }

    /** Returns the virtual time in microseconds. */
    public long now() {
        return mNow;
    }

    public ControlBytes control() {
        return mControl;
    }

    Figures figures() {
        return mFigures;
    }

    Timers timers() {
        return mTimers;
    }

    /** Returns an engine by name, or null. */
    public Engine engine(String id) {
        return mEngines.get(id);
    }

    /** Returns all engines that a service ever had. */
    public List<Engine> engines(int service) {
        return mByService.get(service);
    }

    /** Returns what a router sees of a service. */
    public ServiceView routerView(int router, int service) {
        return mRouters.get(service).get(router).view(mNow);
    }

    /** Returns the view that all will have seen once the lags are over. */
    public ServiceView latestView(int service) {
        return mTimelines.get(service).latest();
    }

    /** Returns what the sidecar beside an engine sees of its service. */
    public ServiceView sidecarView(Engine engine) {
        return mSidecars.get(engine).view(mNow);
    }

    /** Returns the mean work of a service's engines as last heard, one to two reports old. */
    public double reportedMean(int service) {
        return mMeans[service];
    }

    /** Runs an action later. */
    public void later(long micros, Runnable action) {
        mTimers.add(mNow + micros, action);
    }

    /** Gives a request to an engine, where it stays. */
    public void start(Request request, Engine engine) {
        WorkEstimate work = request.workAt(engine);
        engine.accept(request, work.units(mDeployment.bound().prefillWeight()));
        double skew = mFigures.skew(engine, Figures.mean(engines(engine.service())));
        mFigures.onStart(request, work.cachedTokens(), skew, mNow);
        beginNext(engine);
    }

    /** Answers a request that it was not run. */
    public void reject(Request request) {
        mFigures.onReject(request, mNow);
    }

    private void beginNext(Engine engine) {
        for (Request r = engine.next(); r != null; r = engine.next()) {
            Request begun = r;
            long end = engine.begin(r, r.workAt(engine).uncachedTokens(), mNow);
            mFigures.onFirstToken(r, r.firstTokenAt(), mNow);
            mTimers.add(end, () -> end(begun, engine));
        }
    }

    private void end(Request request, Engine engine) {
        if (engine.end(request)) {
            beginNext(engine);
            mScheme.onEnd(engine, request);
        }
    }

    Request newRequest(Turn turn) {
        return new Request(turn, mExpectedOutput);
    }

    void setScheme(Scheme scheme) {
        mScheme = scheme;
    }

    void advance(long now) {
        mNow = now;
    }

    /** Takes every engine's report. */
    void report() {
        for (int s = 0; s < mMeans.length; s++) {
            List<Engine> present = mByService.get(s).stream().filter(Engine::isAlive).toList();
            present.forEach(Engine::report);
            mMeans[s] = present.stream().mapToDouble(Engine::reportedWork).average().orElse(0);
        }
    }

    /** Lets something happen to an engine. */
    void change(MembershipEvent event) {
        ViewTimeline timeline = mTimelines.get(event.service());
        Engine e = mEngines.get(event.engine());
        switch (event.kind()) {
            case JOIN -> join(event, timeline);
            case DRAIN -> {
                e.setDraining();
                see(timeline, new ViewChange.Drain(e.id()));
                mScheme.onDrain(e);
            }
            case CRASH -> crash(e);
            case RETURN -> {
                see(timeline, new ViewChange.Join(e.candidate()));
                mScheme.onJoin(e);
            }
            default -> {
                see(timeline, new ViewChange.Leave(e.id()));
                mScheme.onDrop(e);
            }
        }
    }

    private void join(MembershipEvent event, ViewTimeline timeline) {
        Engine e = newEngine(event.engine(), event.service());
        addSidecar(e);
        see(timeline, new ViewChange.Join(e.candidate()));
        mScheme.onJoin(e);
    }

    private void crash(Engine engine) {
        for (Request r : engine.crash()) {
            if (r.firstTokenAt() <= mNow) {
                mFigures.onCut(r, mNow);
                continue;
            }
            // Nothing of the answer has been sent, so the router tries elsewhere.
            mFigures.onRetry(r);
            later(
                    mDeployment.lags().detectMillis() * MICROS_PER_MILLI,
                    () -> {
                        r.restart();
                        mScheme.onArrival(r);
                    });
        }
    }

    private void see(ViewTimeline timeline, ViewChange change) {
        timeline.change(mNow, change);
        mControl.addPerWorker((long) ControlBytes.VIEW_CHANGE * mDeployment.routers());
    }
}
