package org.laurelweir.benchmarks.measure.policy;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Function;
import org.laurelweir.benchmarks.measure.fleet.ControlBytes;
import org.laurelweir.benchmarks.measure.fleet.Fleet;
import org.laurelweir.benchmarks.measure.fleet.Scheme;
import org.laurelweir.placement.PlacementHints;
import org.laurelweir.placement.PlacementPolicy;

/** The policies that are compared in one run. */
public enum Policy {
    /** The less loaded of two at random. */
    RANDOM_OF_TWO("random of two", Policy::randomOfTwo),
    /** The least loaded by broadcast reports. */
    LEAST_LOADED("least loaded", fleet -> broadcast(fleet, Choices.leastLoaded())),
    /** The first by rendezvous hash. */
    RENDEZVOUS("rendezvous", Policy::rendezvous),
    /** The first by rendezvous hash under a multiple of the mean, by broadcast reports. */
    BOUNDED_LOAD("bounded load", Policy::boundedLoad),
    /** Directory, bound and redirect. */
    DIRECTORY("directory (ours)", DirectoryScheme::new),
    /** The same as the sidecars' reducers do it today. */
    REDUCERS("sidecar reducers (ours)", ReducerScheme::new),
    /** Sees everything. */
    ALL_KNOWING("all-knowing", AllKnowing::new);

    private static final int RANDOM_SEED = 7;
    private static final int PROBES = 2;

    private final String mTitle;
    private final Function<Fleet, Scheme> mScheme;

    Policy(String title, Function<Fleet, Scheme> scheme) {
        mTitle = title;
        mScheme = scheme;
    }

    public String title() {
        return mTitle;
    }

    /** Returns the policy for one run's fleet. */
    public Scheme newScheme(Fleet fleet) {
        return mScheme.apply(fleet);
    }

    private static Scheme randomOfTwo(Fleet fleet) {
        PlacementHints exact =
                new PlacementHints() {
                    @Override
                    public double runningWork(String id) {
                        return fleet.engine(id).work();
                    }
                };
        PlacementPolicy policy = new RandomOfTwo(RANDOM_SEED);
        return new RouterScheme(fleet, policy, r -> exact, PROBES * ControlBytes.PROBE);
    }

    private static Scheme rendezvous(Fleet fleet) {
        return new RouterScheme(fleet, Choices.rendezvous(), r -> PlacementHints.NONE, 0);
    }

    private static Scheme boundedLoad(Fleet fleet) {
        return broadcast(fleet, Choices.boundedLoad(fleet.deployment().bound().factor()));
    }

    private static Scheme broadcast(Fleet fleet, PlacementPolicy policy) {
        List<ReportedLoads> loads = new ArrayList<>();
        for (int r = 0; r < fleet.deployment().routers(); r++) {
            loads.add(new ReportedLoads(fleet));
        }
        broadcastEvery(fleet, loads);
        return new RouterScheme(fleet, policy, loads::get, 0);
    }

    /** Each router hears of every server at each period. */
    private static void broadcastEvery(Fleet fleet, List<ReportedLoads> loads) {
        fleet.later(
                fleet.deployment().lags().loadMillis() * 1000L,
                () -> {
                    loads.forEach(ReportedLoads::rotate);
                    long entries = (long) loads.size() * fleet.deployment().workers();
                    fleet.control().addPerWorker(entries * ControlBytes.LOAD_ENTRY);
                    broadcastEvery(fleet, loads);
                });
    }
}
