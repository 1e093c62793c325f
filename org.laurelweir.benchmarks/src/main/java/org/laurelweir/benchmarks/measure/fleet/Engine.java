package org.laurelweir.benchmarks.measure.fleet;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.LinkedHashSet;
import java.util.Set;
import org.laurelweir.benchmarks.measure.Deployment.EngineSpec;
import org.laurelweir.lib.BackendRef;
import org.laurelweir.placement.Candidate;

/**
 * One backend server's engine. Prompts are computed one after the other, short ones between the
 * chunks of long ones; answers are generated side by side, each token the slower the more requests
 * ran when it began. Requests over the batch's size wait inside the engine.
 */
public final class Engine {
    private static final double MICROS = 1e6;
    private static final double MICROS_PER_MILLI = 1e3;

    private final EngineSpec mSpec;
    private final Candidate mCandidate;
    private final int mService;
    private final PrefixCache mCache;
    private final Set<Request> mRunning = new LinkedHashSet<>();
    private final Deque<Request> mBacklog = new ArrayDeque<>();
    private double mWork;
    private double mLatestReport;
    private double mReportedWork;
    private long mShortFreeAt;
    private long mLongFreeAt;
    private boolean mAlive = true;
    private boolean mDraining;

    Engine(EngineSpec spec, String id, int service) {
        mSpec = spec;
        mCandidate = new Candidate(new BackendRef(id, 1), "dc", 1);
        mService = service;
        mCache = new PrefixCache(spec.cacheTokens());
    }

    public String id() {
        return mCandidate.id();
    }

    public Candidate candidate() {
        return mCandidate;
    }

    public int service() {
        return mService;
    }

    public PrefixCache cache() {
        return mCache;
    }

    /** Returns the work of the requests that run or wait in the engine. */
    public double work() {
        return mWork;
    }

    /** Returns the work that the last report but one said: reports reach others late. */
    public double reportedWork() {
        return mReportedWork;
    }

    public boolean isAlive() {
        return mAlive;
    }

    public boolean isDraining() {
        return mDraining;
    }

    /** Returns how many requests run or wait in the engine. */
    public int requests() {
        return mRunning.size() + mBacklog.size();
    }

    Set<Request> running() {
        return mRunning;
    }

    void report() {
        mReportedWork = mLatestReport;
        mLatestReport = mWork;
    }

    void setDraining() {
        mDraining = true;
    }

    /** Stops at once; returns the requests that were in it. */
    Set<Request> crash() {
        mAlive = false;
        Set<Request> lost = new LinkedHashSet<>(mRunning);
        lost.addAll(mBacklog);
        mRunning.clear();
        mBacklog.clear();
        mWork = 0;
        return lost;
    }

    void accept(Request request, double units) {
        mWork += units;
        request.setStarted(units, Long.MAX_VALUE);
        mBacklog.add(request);
    }

    /** Returns the next request that the batch has room for, or null. */
    Request next() {
        return mRunning.size() < mSpec.maxRunning() ? mBacklog.poll() : null;
    }

    /** Returns when the first token of a request would come that began now. */
    public long firstTokenAt(int uncached, long now) {
        long from = Math.max(now, mShortFreeAt);
        if (uncached > mSpec.chunkTokens()) {
            from = Math.max(from, mLongFreeAt);
        }
        return from + prefillMicros(uncached) + (long) tokenMicros();
    }

    /** Returns how long a prompt takes on its own. */
    public long prefillMicros(int uncached) {
        return (long) (uncached / mSpec.prefillTokensPerSecond() * MICROS);
    }

    private double tokenMicros() {
        double slowed = mSpec.millisPerTokenPerRunning() * mRunning.size();
        return (mSpec.millisPerToken() + slowed) * MICROS_PER_MILLI;
    }

    /** Begins a request and returns when it ends. */
    long begin(Request request, int uncached, long now) {
        double perToken = tokenMicros();
        long first = firstTokenAt(uncached, now);
        takePrefill(uncached, first - (long) perToken);
        mRunning.add(request);
        request.setStarted(request.units(), first);
        return first + (long) (request.turn().output() * perToken);
    }

    /** Notes until when the prompts take the engine; a short one puts off the long ones. */
    private void takePrefill(int uncached, long until) {
        if (uncached > mSpec.chunkTokens()) {
            mLongFreeAt = until;
            return;
        }
        mShortFreeAt = until;
        mLongFreeAt += prefillMicros(uncached);
    }

    /** Ends a request; returns whether it was still running. */
    boolean end(Request request) {
        if (!mRunning.remove(request)) {
            return false;
        }
        mWork = requests() == 0 ? 0 : mWork - request.units();
        mCache.put(request.turn().chat().id(), request.turn().prompt() + request.turn().output());
        return true;
    }
}
