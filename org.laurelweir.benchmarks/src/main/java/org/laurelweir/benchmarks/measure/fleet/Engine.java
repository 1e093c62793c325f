package org.laurelweir.benchmarks.measure.fleet;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.LinkedHashSet;
import java.util.Set;
import org.laurelweir.benchmarks.measure.Deployment.EngineSpec;
import org.laurelweir.lib.BackendRef;
import org.laurelweir.placement.Candidate;

/**
 * Models one backend server's engine. Prompts are computed one after the other; short prompts run
 * between the chunks of long ones. Answers are generated concurrently; the time per token of an
 * answer grows with the number of requests that run when it begins. Requests over the batch size
 * wait in the engine.
 */
public final class Engine {
    private static final double MICROS_PER_SECOND = 1e6;
    private static final double MICROS_PER_MILLI = 1e3;

    private final EngineSpec mSpec;
    private final Candidate mCandidate;
    private final int mService;
    private final PrefixCache mCache;
    private final Set<Request> mRunning = new LinkedHashSet<>();
    private final Deque<Request> mBacklog = new ArrayDeque<>();
    private double mWork;
    private double mLatestReportedWork;
    private double mReportedWork;
    private long mShortPromptsFreeAt;
    private long mLongPromptsFreeAt;
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

    /** Returns the work in the last report but one, since reports reach the others late. */
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
        mReportedWork = mLatestReportedWork;
        mLatestReportedWork = mWork;
    }

    void setDraining() {
        mDraining = true;
    }

    /** Stops the engine at once. Returns the requests that ran or waited in it. */
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

    /** Removes and returns the next waiting request if the batch has room, else null. */
    Request pollStartable() {
        return mRunning.size() < mSpec.maxRunning() ? mBacklog.poll() : null;
    }

    /** Returns the time of the first token, in microseconds, of a request that would begin now. */
    public long firstTokenAt(int uncached, long now) {
        long from = Math.max(now, mShortPromptsFreeAt);
        if (uncached > mSpec.chunkTokens()) {
            from = Math.max(from, mLongPromptsFreeAt);
        }
        return from + prefillMicros(uncached) + (long) tokenMicros();
    }

    /** Returns how many microseconds the uncached tokens of a prompt take on an idle engine. */
    public long prefillMicros(int uncached) {
        return (long) (uncached / mSpec.prefillTokensPerSecond() * MICROS_PER_SECOND);
    }

    private double tokenMicros() {
        double slowdown = mSpec.millisPerTokenPerRunning() * mRunning.size();
        return (mSpec.millisPerToken() + slowdown) * MICROS_PER_MILLI;
    }

    /** Begins a request and returns the time at which it ends, in microseconds. */
    long begin(Request request, int uncached, long now) {
        double perToken = tokenMicros();
        long first = firstTokenAt(uncached, now);
        occupyPrefill(uncached, first - (long) perToken);
        mRunning.add(request);
        request.setStarted(request.workUnits(), first);
        return first + (long) (request.turn().output() * perToken);
    }

    /** Reserves the engine for a prompt's computation. A short prompt delays the long ones. */
    private void occupyPrefill(int uncached, long until) {
        if (uncached > mSpec.chunkTokens()) {
            mLongPromptsFreeAt = until;
            return;
        }
        mShortPromptsFreeAt = until;
        mLongPromptsFreeAt += prefillMicros(uncached);
    }

    /** Ends a request and caches its history. Returns false if it was not running. */
    boolean end(Request request) {
        if (!mRunning.remove(request)) {
            return false;
        }
        mWork = requests() == 0 ? 0 : mWork - request.workUnits();
        mCache.put(request.turn().chat().id(), request.turn().prompt() + request.turn().output());
        return true;
    }
}
