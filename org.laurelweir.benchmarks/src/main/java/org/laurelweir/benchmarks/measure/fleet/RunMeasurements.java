package org.laurelweir.benchmarks.measure.fleet;

import java.util.Arrays;
import java.util.List;
import org.HdrHistogram.Histogram;
import org.laurelweir.benchmarks.measure.Deployment;

/** The measurements of one run. Requests that arrive in the warm-up are not counted. */
public final class RunMeasurements {
    private static final double MICROS_PER_SECOND = 1e6;
    private static final int SECONDS_PER_MINUTE = 60;
    private static final long MAX_FIRST_TOKEN_MICROS = 3_600_000_000L;

    private final Deployment mDeployment;
    private final long mWarmUpEndMicros;
    private final CacheReuse mReuse;
    private final Histogram mHops = new Histogram(2);
    private final Histogram mFirstToken = new Histogram(MAX_FIRST_TOKEN_MICROS, 2);
    private final long[] mArrivals;
    private final long[] mRejections;
    private final long[] mDeadlinesMet;
    private final double[] mSkew;
    private int mSamples;
    private long mStarts;
    private long mStartsOverFactor;
    private long mCutAnswers;
    private ControlBytes mControlBytes;

    RunMeasurements(Deployment deployment) {
        mDeployment = deployment;
        mWarmUpEndMicros =
                (long) (deployment.warmUpMinutes() * SECONDS_PER_MINUTE * MICROS_PER_SECOND);
        mReuse = new CacheReuse(deployment);
        mArrivals = new long[deployment.accounts().count()];
        mRejections = new long[deployment.accounts().count()];
        mDeadlinesMet = new long[deployment.accounts().count()];
        mSkew = new double[(int) (deployment.minutes() * SECONDS_PER_MINUTE) + 1];
    }

    private boolean isCounted(Request request) {
        return request.turn().at() >= mWarmUpEndMicros;
    }

    void onArrival(Request request, long now) {
        if (isCounted(request)) {
            mArrivals[request.turn().chat().account()]++;
        }
    }

    /**
     * Records that an engine started a request.
     *
     * @param cached prompt tokens found in the engine's cache
     * @param skew the engine's work over the mean, with this request
     */
    void onStart(Request request, int cached, double skew, long now) {
        if (!isCounted(request)) {
            return;
        }
        mStarts++;
        if (skew > mDeployment.bound().factor()) {
            mStartsOverFactor++;
        }
        mHops.recordValue(request.hops());
        addReuse(request, cached, now);
    }

    /**
     * Counts a returning turn. A rejected turn counts with no cached tokens, since a policy could
     * otherwise raise its reuse by rejecting cache misses.
     */
    private void addReuse(Request request, int cached, long now) {
        if (request.turn().history() > 0) {
            mReuse.add(request.turn().prompt(), cached, now);
        }
    }

    void onFirstToken(Request request, long at, long now) {
        if (!isCounted(request)) {
            return;
        }
        mFirstToken.recordValue(Math.min(MAX_FIRST_TOKEN_MICROS, at - request.turn().at()));
        if (isDeadlineMet(request)) {
            mDeadlinesMet[request.turn().chat().account()]++;
        }
    }

    private static boolean isDeadlineMet(Request request) {
        return request.firstTokenAt() - request.turn().at() <= request.turn().deadline();
    }

    /** Uncounts a met deadline whose first token a crash prevented. */
    void onRetry(Request request) {
        if (isCounted(request) && isDeadlineMet(request)) {
            mDeadlinesMet[request.turn().chat().account()]--;
        }
    }

    void onAnswerCut(Request request, long now) {
        if (isCounted(request)) {
            mCutAnswers++;
        }
    }

    void onReject(Request request, long now) {
        if (isCounted(request)) {
            mRejections[request.turn().chat().account()]++;
            addReuse(request, 0, now);
        }
    }

    /** Records the skew of the current second, the largest over the services. */
    void sample(Fleet fleet) {
        double skew = 0;
        for (int s = 0; s < mDeployment.services().size(); s++) {
            skew = Math.max(skew, skew(fleet.engines(s)));
        }
        if (mSamples < mSkew.length) {
            mSkew[mSamples++] = skew;
        }
    }

    private double skew(List<Engine> engines) {
        double mean = mean(engines);
        return engines.stream().mapToDouble(e -> skew(e, mean)).max().orElse(0);
    }

    /**
     * Returns an engine's work over the mean, with the rules of {@link
     * org.laurelweir.placement.LoadBound}: the mean counts as at least the floor over the factor,
     * and the skew of an engine with fewer than two requests is 0.
     */
    double skew(Engine engine, double mean) {
        if (!engine.isAlive() || engine.isDraining() || engine.requests() < 2) {
            return 0;
        }
        Deployment.Bound bound = mDeployment.bound();
        return engine.work() / Math.max(mean, bound.capacityFloor() / bound.factor());
    }

    /** Returns the mean work of the engines that take new work. */
    static double mean(List<Engine> engines) {
        double sum = 0;
        int count = 0;
        for (Engine e : engines) {
            if (e.isAlive() && !e.isDraining()) {
                sum += e.work();
                count++;
            }
        }
        return count == 0 ? 0 : sum / count;
    }

    void finish(ControlBytes control) {
        mControlBytes = control;
    }

    public CacheReuse reuse() {
        return mReuse;
    }

    /** Returns the skew of each second after the warm-up. */
    public double[] skew() {
        return Arrays.copyOfRange(
                mSkew, Math.min(mSamples, (int) (mWarmUpEndMicros / MICROS_PER_SECOND)), mSamples);
    }

    /** Returns the share of started requests that took their engine over the bound's factor. */
    public double startedOverFactor() {
        return (double) mStartsOverFactor / mStarts;
    }

    /** Returns the mean hops a request, beyond the one hop that every request takes. */
    public double meanHops() {
        return mHops.getMean();
    }

    /** Returns the 99th percentile of the hops beyond the first. */
    public long p99Hops() {
        return mHops.getValueAtPercentile(99);
    }

    /** Returns a percentile of the time to the first token, in milliseconds. */
    public double firstTokenMillis(double percentile) {
        return mFirstToken.getValueAtPercentile(percentile) / 1000.0;
    }

    /** Returns the share of all arrivals whose first token met its deadline. */
    public double deadlinesMet() {
        return (double) Arrays.stream(mDeadlinesMet).sum() / arrivals();
    }

    /** Returns the number of requests that arrived. */
    public long arrivals() {
        return Arrays.stream(mArrivals).sum();
    }

    /** Returns the rejected requests, by client account. */
    public long[] rejections() {
        return mRejections.clone();
    }

    /** Returns the requests that arrived, by client account. */
    public long[] arrivalsByAccount() {
        return mArrivals.clone();
    }

    /** Returns the requests whose first token met its deadline, by client account. */
    public long[] deadlinesMetByAccount() {
        return mDeadlinesMet.clone();
    }

    /** Returns the number of answers that a crash cut off after their first token. */
    public long cutAnswers() {
        return mCutAnswers;
    }

    /** Returns the control bytes per second and router. */
    public double controlBytesPerRouter() {
        return mControlBytes.total() / routerSeconds();
    }

    /**
     * Returns the control bytes per second and router, extrapolated to another size.
     *
     * @param workers backend servers there
     * @param requestsPerRouter requests per second and router there
     */
    public double controlBytesPerRouterAt(int workers, double requestsPerRouter) {
        double own = mDeployment.requestsPerSecond() / mDeployment.routers();
        double scaled =
                mControlBytes.scaled(
                        (double) workers / mDeployment.workers(), requestsPerRouter / own);
        return scaled / routerSeconds();
    }

    private double routerSeconds() {
        return mDeployment.routers() * mDeployment.minutes() * SECONDS_PER_MINUTE;
    }
}
