package org.laurelweir.benchmarks.measure.fleet;

import java.util.List;
import java.util.function.Function;
import org.laurelweir.benchmarks.measure.Deployment;
import org.laurelweir.benchmarks.measure.workload.Trace;
import org.laurelweir.benchmarks.measure.workload.Turn;

/** Runs a trace and a churn plan against one scheme, in virtual time. */
public final class Run {
    private static final long MICROS_PER_SECOND = 1_000_000L;
    private static final long MICROS_PER_MILLI = 1000;

    private final Trace mTrace;
    private final List<MembershipEvent> mChurnEvents;
    private final Fleet mFleet;
    private final Scheme mScheme;
    private final RunMeasurements mMeasurements;
    private final long mEndMicros;

    /**
     * Prepares a run.
     *
     * @param deployment the fleet and its workload
     * @param trace the arrivals
     * @param churn the membership events of the engines
     * @param scheme creates the scheme for the run's fleet
     * @param seed of the lags with which changes become visible
     */
    public Run(
            Deployment deployment,
            Trace trace,
            List<MembershipEvent> churn,
            Function<Fleet, Scheme> scheme,
            long seed) {
        mTrace = trace;
        mChurnEvents = churn;
        mMeasurements = new RunMeasurements(deployment);
        mFleet = new Fleet(deployment, mMeasurements, seed);
        mScheme = scheme.apply(mFleet);
        mFleet.setScheme(mScheme);
        mEndMicros = (long) (deployment.minutes() * 60 * MICROS_PER_SECOND);
    }

    /** Executes the run and returns its measurements. */
    public RunMeasurements play() {
        fillCaches();
        for (MembershipEvent e : mChurnEvents) {
            mFleet.timers().add(e.at(), () -> mFleet.applyEvent(e));
        }
        long loadPeriod = mFleet.deployment().lags().loadMillis() * MICROS_PER_MILLI;
        repeat(loadPeriod, mFleet::report);
        repeat(MICROS_PER_SECOND, this::sample);
        for (Turn turn : mTrace.turns()) {
            runTimers(turn.at());
            mFleet.advance(turn.at());
            Request r = mFleet.newRequest(turn);
            mMeasurements.onArrival(r, turn.at());
            mScheme.onArrival(r);
        }
        runTimers(mEndMicros);
        mMeasurements.finish(mFleet.controlBytes());
        return mMeasurements;
    }

    /**
     * Fills the caches with the histories of earlier turns, on the engines that the scheme names.
     */
    private void fillCaches() {
        for (Turn turn : mTrace.precedingTurns()) {
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
        mFleet.schedule(
                period,
                () -> {
                    action.run();
                    repeat(period, action);
                });
    }

    private void sample() {
        mMeasurements.sample(mFleet);
        long routers = mFleet.deployment().routers();
        mFleet.controlBytes().addPerSecond(ControlBytes.EXCHANGE * routers);
    }
}
