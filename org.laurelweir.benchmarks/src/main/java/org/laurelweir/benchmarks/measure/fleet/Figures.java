package org.laurelweir.benchmarks.measure.fleet;

import java.util.Arrays;
import java.util.List;
import org.HdrHistogram.Histogram;
import org.laurelweir.benchmarks.measure.Deployment;

/** What one run measured. Requests that arrived in the warm-up are not counted. */
public final class Figures {
    private static final double MICROS = 1e6;
    private static final int MINUTE = 60;
    private static final long LONGEST = 3_600_000_000L;

    private final Deployment mDeployment;
    private final long mFrom;
    private final Reuse mReuse;
    private final Histogram mHops = new Histogram(2);
    private final Histogram mFirstToken = new Histogram(LONGEST, 2);
    private final long[] mArrivals;
    private final long[] mRejections;
    private final long[] mMet;
    private final double[] mSkew;
    private int mSamples;
    private long mStarts;
    private long mStartsOver;
    private long mCut;
    private ControlBytes mControl;

    Figures(Deployment deployment) {
        mDeployment = deployment;
        mFrom = (long) (deployment.warmUpMinutes() * MINUTE * MICROS);
        mReuse = new Reuse(deployment);
        mArrivals = new long[deployment.accounts().count()];
        mRejections = new long[deployment.accounts().count()];
        mMet = new long[deployment.accounts().count()];
        mSkew = new double[(int) (deployment.minutes() * MINUTE) + 1];
    }

    private boolean isCounted(Request request) {
        return request.turn().at() >= mFrom;
    }

    void onArrival(Request request, long now) {
        if (isCounted(request)) {
            mArrivals[request.turn().chat().account()]++;
        }
    }

    /** Notes an admission and whether it took the engine over the set multiple of the mean. */
    void onStart(Request request, int cached, double skew, long now) {
        if (!isCounted(request)) {
            return;
        }
        mStarts++;
        if (skew > mDeployment.bound().factor()) {
            mStartsOver++;
        }
        mHops.recordValue(request.hops());
        addReuse(request, cached, now);
    }

    /** A rejected turn found nothing cached: else a policy would gain by rejecting the misses. */
    private void addReuse(Request request, int cached, long now) {
        if (request.turn().history() > 0) {
            mReuse.add(request.turn().prompt(), cached, now);
        }
    }

    void onFirstToken(Request request, long at, long now) {
        if (!isCounted(request)) {
            return;
        }
        mFirstToken.recordValue(Math.min(LONGEST, at - request.turn().at()));
        if (isMet(request)) {
            mMet[request.turn().chat().account()]++;
        }
    }

    private static boolean isMet(Request request) {
        return request.firstTokenAt() - request.turn().at() <= request.turn().deadline();
    }

    /** Takes back a first token that a crash came before. */
    void onRetry(Request request) {
        if (isCounted(request) && isMet(request)) {
            mMet[request.turn().chat().account()]--;
        }
    }

    void onCut(Request request, long now) {
        if (isCounted(request)) {
            mCut++;
        }
    }

    void onReject(Request request, long now) {
        if (isCounted(request)) {
            mRejections[request.turn().chat().account()]++;
            addReuse(request, 0, now);
        }
    }

    /** Notes the skew of this second: the largest over the services. */
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
     * Returns an engine's work over the mean, by the rounding of {@link
     * org.laurelweir.placement.LoadBound}: the mean counts as no less than the floor over the
     * factor, and an engine with one request is never over it.
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
        mControl = control;
    }

    public Reuse reuse() {
        return mReuse;
    }

    /** Returns the skew of each second after the warm-up. */
    public double[] skew() {
        return Arrays.copyOfRange(mSkew, Math.min(mSamples, (int) (mFrom / MICROS)), mSamples);
    }

    /** Returns the share of admissions after which their engine was over the set multiple. */
    public double startsOver() {
        return (double) mStartsOver / mStarts;
    }

    /** Returns the mean of the hops over the one that every request takes. */
    public double meanHops() {
        return mHops.getMean();
    }

    /** Returns the 99th percentile of added hops. */
    public long p99Hops() {
        return mHops.getValueAtPercentile(99);
    }

    /** Returns a percentile of the time to the first token, in milliseconds. */
    public double firstTokenMillis(double percentile) {
        return mFirstToken.getValueAtPercentile(percentile) / 1000.0;
    }

    /** Returns the share of all arrivals whose first token came by its deadline. */
    public double deadlinesMet() {
        return (double) Arrays.stream(mMet).sum() / arrivals();
    }

    /** Returns the requests that arrived. */
    public long arrivals() {
        return Arrays.stream(mArrivals).sum();
    }

    /** Returns the requests that were answered as not run, by client account. */
    public long[] rejections() {
        return mRejections.clone();
    }

    /** Returns the requests that arrived, by client account. */
    public long[] arrivalsByAccount() {
        return mArrivals.clone();
    }

    /** Returns the requests whose first token came by its deadline, by client account. */
    public long[] metByAccount() {
        return mMet.clone();
    }

    /** Returns the answers that a crash cut after their first token. */
    public long cut() {
        return mCut;
    }

    /** Returns the control bytes a second a router. */
    public double controlPerRouter() {
        return mControl.total() / routerSeconds();
    }

    /**
     * Returns the control bytes a second a router at another size.
     *
     * @param workers backend servers there
     * @param requestsPerRouter requests a second a router there
     */
    public double controlPerRouterAt(int workers, double requestsPerRouter) {
        double own = mDeployment.requestsPerSecond() / mDeployment.routers();
        double scaled =
                mControl.scaled((double) workers / mDeployment.workers(), requestsPerRouter / own);
        return scaled / routerSeconds();
    }

    private double routerSeconds() {
        return mDeployment.routers() * mDeployment.minutes() * MINUTE;
    }
}
