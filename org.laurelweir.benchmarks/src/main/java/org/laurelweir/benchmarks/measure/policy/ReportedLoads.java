package org.laurelweir.benchmarks.measure.policy;

import java.util.HashMap;
import java.util.Map;
import org.laurelweir.benchmarks.measure.fleet.Fleet;
import org.laurelweir.placement.PlacementHints;

/**
 * What a router knows where every server's load is broadcast: the reports, one to two periods old,
 * and what it has sent itself since.
 */
final class ReportedLoads implements PlacementHints {
    private final Fleet mFleet;
    private final long mPeriod;
    private Map<String, Double> mSent = new HashMap<>();
    private Map<String, Double> mSentBefore = new HashMap<>();
    private long mEpoch;

    ReportedLoads(Fleet fleet) {
        mFleet = fleet;
        mPeriod = fleet.deployment().lags().loadMillis() * 1000L;
    }

    @Override
    public double runningWork(String id) {
        return mFleet.engine(id).reportedWork()
                + mSent.getOrDefault(id, 0.0)
                + mSentBefore.getOrDefault(id, 0.0);
    }

    void noteSent(String id, double work) {
        mSent.merge(id, work, Double::sum);
    }

    /** Forgets what the reports include by now. */
    void rotate() {
        long epoch = mFleet.now() / mPeriod;
        if (epoch != mEpoch) {
            mSentBefore = mSent;
            mSent = new HashMap<>();
            mEpoch = epoch;
        }
    }
}
