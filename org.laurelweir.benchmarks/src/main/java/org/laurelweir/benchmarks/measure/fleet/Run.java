package org.laurelweir.benchmarks.measure.fleet;

import java.util.List;
import java.util.function.Function;
import org.laurelweir.benchmarks.measure.Deployment;
import org.laurelweir.benchmarks.measure.workload.Trace;
import org.laurelweir.benchmarks.measure.workload.Turn;

/** Plays a trace and a churn plan against one scheme. */
public final class Run {
    private static final long SECOND = 1_000_000L;
    private static final long MICROS_PER_MILLI = 1000;

    private final Trace mTrace;
    private final List<MembershipEvent> mChurn;
    private final Fleet mFleet;
    private final Scheme mScheme;
    private final Figures mFigures;
    private final long mEnd;

    /**
     * Prepares a run.
     *
     * @param deployment what runs
     * @param trace the arrivals
     * @param churn what happens to engines
     * @param scheme makes the scheme for the run's fleet
     * @param seed for the lags
     */
    public Run(
            Deployment deployment,
            Trace trace,
            List<MembershipEvent> churn,
            Function<Fleet, Scheme> scheme,
            long seed) {
        mTrace = trace;
        mChurn = churn;
        mFigures = new Figures(deployment);
        mFleet = new Fleet(deployment, mFigures, seed);
        mScheme = scheme.apply(mFleet);
        mFleet.setScheme(mScheme);
        mEnd = (long) (deployment.minutes() * 60 * SECOND);
    }

    /** Plays it and returns what was measured. */
    public Figures play() {
        placeEarlier();
        for (MembershipEvent e : mChurn) {
            mFleet.timers().add(e.at(), () -> mFleet.change(e));
        }
        long load = mFleet.deployment().lags().loadMillis() * MICROS_PER_MILLI;
        repeat(load, mFleet::report);
        repeat(SECOND, this::sample);
        for (Turn turn : mTrace.turns()) {
            runTimers(turn.at());
            mFleet.advance(turn.at());
            Request r = mFleet.newRequest(turn);
            mFigures.onArrival(r, turn.at());
            mScheme.onArrival(r);
        }
        runTimers(mEnd);
        mFigures.finish(mFleet.control());
        return mFigures;
    }

    /** Fills the caches as the scheme would have, without load. */
    private void placeEarlier() {
        for (Turn turn : mTrace.earlier()) {
            Request r = mFleet.newRequest(turn);
            Engine e = mFleet.engine(mScheme.initialEngine(r));
            e.cache().put(turn.chat().id(), turn.prompt());
        }
    }

    private void runTimers(long until) {
        while (mFleet.timers().nextAt() <= until) {
            mFleet.advance(mFleet.timers().nextAt());
            mFleet.timers().poll().run();
        }
    }

    private void repeat(long period, Runnable action) {
        mFleet.later(
                period,
                () -> {
                    action.run();
                    repeat(period, action);
                });
    }

    private void sample() {
        mFigures.sample(mFleet);
        long routers = mFleet.deployment().routers();
        mFleet.control().addPerSecond(ControlBytes.EXCHANGE * routers);
    }
}
