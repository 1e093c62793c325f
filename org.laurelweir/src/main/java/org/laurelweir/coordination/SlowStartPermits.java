package org.laurelweir.coordination;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Supplier;
import java.util.function.ToDoubleFunction;
import net.openhft.hashing.LongHashFunction;
import org.laurelweir.lib.BackendRef;
import org.laurelweir.membership.Backend;
import org.laurelweir.membership.DrainedDataCentres;
import org.laurelweir.membership.SlowStartPermit;

/**
 * Decides which routers may send requests to a backend server in slow start. A few routers share
 * the rate of the server, and all others send nothing, because the fleet cannot count the requests
 * of a second together. Control instances that know other routers choose nearly the same ones.
 */
final class SlowStartPermits {
    /** How often the permits are computed; each computation visits every backend server. */
    static final Duration INTERVAL = Duration.ofMillis(100);

    /**
     * How long the backend servers of an undrained data centre count as in slow start although none
     * has said so. It covers two announcements and an exchange: by then a server that starts slowly
     * has announced it.
     */
    static final Duration UNDRAINED_TIME = Duration.ofMillis(3_500);

    /**
     * How long after its start an instance gives no permits. By then it has heard the routers of
     * all peers, which tell them every five seconds; an instance that knows only some routers would
     * give each of them too large a share.
     */
    static final Duration SETTLING_TIME = Duration.ofSeconds(10);

    /**
     * Routers for each request a second that a server takes. Each of them may send one request more
     * than its share of a second, so that the server gets at most half more than its rate.
     */
    private static final double ROUTERS_PER_RATE = 0.5;

    private final ToDoubleFunction<String> mRateOf;
    private final Map<String, Instant> mUndrainedAt = new HashMap<>();
    private DrainedDataCentres mDrained = DrainedDataCentres.NONE;
    private Map<String, List<SlowStartPermit>> mPermits = Map.of();
    private Set<String> mServices = Set.of();
    private Instant mNextComputation = Instant.MIN;
    private Instant mFirstExchange;

    /**
     * Creates an instance without permits.
     *
     * @param rateOf returns how many requests a second one backend server of a service takes in
     *     slow start; 0 if it needs no slow start
     */
    SlowStartPermits(ToDoubleFunction<String> rateOf) {
        mRateOf = rateOf;
    }

    /** Records the drained data centres, of which some may have been undrained. */
    void onDrained(Instant now, DrainedDataCentres drained) {
        if (drained.position() == mDrained.position()) {
            return;
        }
        for (String name : mDrained.names()) {
            if (!drained.contains(name)) {
                mUndrainedAt.put(name, now);
            }
        }
        drained.names().forEach(mUndrainedAt::remove);
        mDrained = drained;
    }

    /**
     * Returns the permits of a router.
     *
     * @param router the router's name
     * @param backends returns all backend servers; called only when the permits are computed
     * @param routers the names of all routers
     * @param hasMajority whether this instance is in touch with most control instances. One that is
     *     not gives no permits, since the others give them to routers that it may not know.
     */
    List<SlowStartPermit> permitsOf(
            Instant now,
            String router,
            Supplier<Collection<Backend>> backends,
            Collection<String> routers,
            boolean hasMajority) {
        mFirstExchange = mFirstExchange == null ? now : mFirstExchange;
        if (!now.isBefore(mNextComputation)) {
            mNextComputation = now.plus(INTERVAL);
            mUndrainedAt.values().removeIf(t -> !now.isBefore(t.plus(UNDRAINED_TIME)));
            Collection<Backend> all = backends.get();
            mServices = servicesWithRate(all);
            mPermits = compute(all, routers);
        }
        boolean isSettled = !now.isBefore(mFirstExchange.plus(SETTLING_TIME));
        return isSettled && hasMajority ? mPermits.getOrDefault(router, List.of()) : List.of();
    }

    /** Returns the services with a slow start, as of the last computation of permits. */
    Set<String> services() {
        return mServices;
    }

    private Set<String> servicesWithRate(Collection<Backend> backends) {
        Set<String> services = new HashSet<>();
        backends.forEach(b -> services.add(b.service()));
        services.removeIf(s -> mRateOf.applyAsDouble(s) <= 0);
        return services;
    }

    private Map<String, List<SlowStartPermit>> compute(
            Collection<Backend> backends, Collection<String> routers) {
        Map<String, List<SlowStartPermit>> permits = new HashMap<>();
        for (Backend b : backends) {
            if (isInSlowStart(b)) {
                addPermits(b, routers, permits);
            }
        }
        return permits;
    }

    private boolean isInSlowStart(Backend b) {
        return b.state() == Backend.State.SERVING
                && !mDrained.contains(b.dataCentre())
                && (b.slowStart() || mUndrainedAt.containsKey(b.dataCentre()));
    }

    private void addPermits(
            Backend b, Collection<String> routers, Map<String, List<SlowStartPermit>> permits) {
        double rate = mRateOf.applyAsDouble(b.service());
        if (rate <= 0) {
            return;
        }
        int count = (int) Math.max(1, rate * ROUTERS_PER_RATE);
        List<String> chosen = firstByRank(b.ref(), routers, count);
        for (String router : chosen) {
            permits.computeIfAbsent(router, r -> new ArrayList<>())
                    .add(new SlowStartPermit(b.ref(), rate / chosen.size()));
        }
    }

    /** Returns the routers with the highest random weight for a backend server. */
    private static List<String> firstByRank(
            BackendRef server, Collection<String> routers, int count) {
        LongHashFunction hash =
                LongHashFunction.xx3(
                        LongHashFunction.xx3().hashBytes(bytes(server.id()))
                                + server.incarnation());
        return routers.stream()
                .sorted(
                        Comparator.<String>comparingLong(r -> hash.hashBytes(bytes(r)))
                                .thenComparing(Comparator.naturalOrder()))
                .limit(count)
                .toList();
    }

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }
}
