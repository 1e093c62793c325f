package org.laurelweir.benchmarks.measure.fleet;

import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.List;
import java.util.Random;
import org.laurelweir.benchmarks.measure.Deployment;
import org.laurelweir.benchmarks.measure.Deployment.Churn;
import org.laurelweir.benchmarks.measure.fleet.MembershipEvent.Kind;

/** Plans which engines leave, join and flap in a run, and when. */
public final class ChurnPlan {
    private static final double MICROS_PER_SECOND = 1e6;
    private static final int SECONDS_PER_MINUTE = 60;
    private static final long DRAIN_MICROS = 60_000_000L;

    private final Deployment mDeployment;
    private final Random mRandom;
    private final List<MembershipEvent> mEvents = new ArrayList<>();

    private ChurnPlan(Deployment deployment, long seed) {
        mDeployment = deployment;
        mRandom = new Random(seed);
    }

    /** Returns the events in order of time; the same for the same deployment and seed. */
    public static List<MembershipEvent> generate(Deployment deployment, long seed) {
        ChurnPlan plan = new ChurnPlan(deployment, seed);
        for (int s = 0; s < deployment.services().size(); s++) {
            plan.addService(s);
        }
        plan.mEvents.sort(
                Comparator.comparingLong(MembershipEvent::at)
                        .thenComparing(MembershipEvent::engine));
        return plan.mEvents;
    }

    /**
     * Returns the name of a service's i-th engine. Engines whose index is at least the number of
     * workers join during the run.
     */
    public static String engineName(String service, int i) {
        return service + "-" + i;
    }

    private void addService(int service) {
        Churn churn = mDeployment.churn();
        Deployment.ServiceSpec spec = mDeployment.services().get(service);
        List<Integer> indices = new ArrayList<>();
        for (int i = 0; i < spec.workers(); i++) {
            indices.add(i);
        }
        Collections.shuffle(indices, mRandom);
        int replaced = (int) Math.max(1, Math.round(churn.replacedShare() * spec.workers()));
        for (int i = 0; i < replaced; i++) {
            boolean crash = i < Math.round(churn.crashShare() * replaced);
            String joins = engineName(spec.name(), spec.workers() + i);
            addReplacement(service, engineName(spec.name(), indices.get(i)), joins, crash);
        }
        for (int i = 0; i < churn.flaps(); i++) {
            addFlap(service, engineName(spec.name(), indices.get((replaced + i) % indices.size())));
        }
    }

    private void addReplacement(int service, String leaves, String joins, boolean crash) {
        long at = randomMicros();
        long dropped = at + (crash ? mDeployment.lags().detectMillis() * 1000L : DRAIN_MICROS);
        long joined = at + mDeployment.churn().replaceSeconds() * (long) MICROS_PER_SECOND;
        mEvents.add(new MembershipEvent(at, crash ? Kind.CRASH : Kind.DRAIN, service, leaves));
        mEvents.add(new MembershipEvent(dropped, Kind.DROP, service, leaves));
        mEvents.add(new MembershipEvent(joined, Kind.JOIN, service, joins));
    }

    private void addFlap(int service, String engine) {
        long at = randomMicros();
        double seconds = 1 + mRandom.nextDouble() * (mDeployment.churn().flapSeconds() - 1);
        mEvents.add(new MembershipEvent(at, Kind.VANISH, service, engine));
        long back = at + (long) (seconds * MICROS_PER_SECOND);
        mEvents.add(new MembershipEvent(back, Kind.RETURN, service, engine));
    }

    private long randomMicros() {
        Churn churn = mDeployment.churn();
        double minute = churn.startMinute() + mRandom.nextDouble() * churn.minutes();
        return (long) (minute * SECONDS_PER_MINUTE * MICROS_PER_SECOND);
    }
}
