package org.laurelweir.benchmarks.measure.policy;

import java.util.HashMap;
import java.util.Map;
import org.laurelweir.benchmarks.measure.fleet.Fleet;
import org.laurelweir.placement.PlacementHints;

/**
 * One router's load hints where every server's load is broadcast to all routers: the reported work,
 * one to two periods old, plus the work that this router itself has sent since.
 */
final class ReportedLoads implements PlacementHints {
    private final Fleet mFleet;
    private final long mPeriodMicros;
    private Map<String, Double> mSentThisPeriod = new HashMap<>();
    private Map<String, Double> mSentLastPeriod = new HashMap<>();
    private long mPeriodNumber;

    ReportedLoads(Fleet fleet) {
        mFleet = fleet;
        mPeriodMicros = fleet.deployment().lags().loadMillis() * 1000L;
    }

    @Override
    public double runningWork(String id) {
        return mFleet.engine(id).reportedWork()
                + mSentThisPeriod.getOrDefault(id, 0.0)
                + mSentLastPeriod.getOrDefault(id, 0.0);
    }

    void noteSent(String id, double work) {
        mSentThisPeriod.merge(id, work, Double::sum);
    }

    /** Drops the sent work that the latest reports already include. */
    void rotate() {
        long period = mFleet.now() / mPeriodMicros;
        if (period != mPeriodNumber) {
            mSentLastPeriod = mSentThisPeriod;
            mSentThisPeriod = new HashMap<>();
            mPeriodNumber = period;
        }
    }
}
