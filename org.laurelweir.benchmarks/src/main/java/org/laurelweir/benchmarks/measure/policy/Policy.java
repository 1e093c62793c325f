package org.laurelweir.benchmarks.measure.policy;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Function;
import org.laurelweir.benchmarks.measure.fleet.ControlBytes;
import org.laurelweir.benchmarks.measure.fleet.Fleet;
import org.laurelweir.benchmarks.measure.fleet.Scheme;
import org.laurelweir.placement.PlacementHints;
import org.laurelweir.placement.PlacementPolicy;

/** The placement policies that the measure program compares. */
public enum Policy {
    /** The less loaded of two servers drawn at random. */
    RANDOM_OF_TWO("random of two", Policy::randomOfTwo),
    /** The server with the least load by broadcast reports. */
    LEAST_LOADED("least loaded", fleet -> broadcast(fleet, BaselinePolicies.leastLoaded())),
    /** The first server by rendezvous hash. */
    RENDEZVOUS("rendezvous", Policy::rendezvous),
    /** The first server by rendezvous hash whose reported load is under a multiple of the mean. */
    BOUNDED_LOAD("bounded load", Policy::boundedLoad),
    /** The policy in use: chat directory, load bound and redirects, as a model of its own. */
    DIRECTORY("directory (ours)", DirectoryScheme::new),
    /** The policy in use, run by the sidecars' production reducers. */
    REDUCERS("sidecar reducers (ours)", ReducerScheme::new),
    /** An oracle that reads the true cache and load of every engine. */
    ALL_KNOWING("all-knowing", OracleScheme::new);

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

    /** Creates the policy's scheme for the fleet of one run. */
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
        PlacementPolicy policy = new RandomOfTwoPolicy(RANDOM_SEED);
        return new RouterScheme(fleet, policy, r -> exact, PROBES * ControlBytes.PROBE);
    }

    private static Scheme rendezvous(Fleet fleet) {
        return new RouterScheme(fleet, BaselinePolicies.rendezvous(), r -> PlacementHints.NONE, 0);
    }

    private static Scheme boundedLoad(Fleet fleet) {
        return broadcast(fleet, BaselinePolicies.boundedLoad(fleet.deployment().bound().factor()));
    }

    private static Scheme broadcast(Fleet fleet, PlacementPolicy policy) {
        List<ReportedLoads> loads = new ArrayList<>();
        for (int r = 0; r < fleet.deployment().routers(); r++) {
            loads.add(new ReportedLoads(fleet));
        }
        broadcastEvery(fleet, loads);
        return new RouterScheme(fleet, policy, loads::get, 0);
    }

    /** Broadcasts every server's load to every router, once a period. */
    private static void broadcastEvery(Fleet fleet, List<ReportedLoads> loads) {
        fleet.schedule(
                fleet.deployment().lags().loadMillis() * 1000L,
                () -> {
                    loads.forEach(ReportedLoads::rotate);
                    long entries = (long) loads.size() * fleet.deployment().workers();
                    fleet.controlBytes().addPerWorker(entries * ControlBytes.LOAD_ENTRY);
                    broadcastEvery(fleet, loads);
                });
    }
}
