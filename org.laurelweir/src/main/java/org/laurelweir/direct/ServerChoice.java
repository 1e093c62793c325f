package org.laurelweir.direct;

import java.time.Instant;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import org.laurelweir.load.LoadEstimator;
import org.laurelweir.membership.Backend;
import org.laurelweir.placement.Candidate;
import org.laurelweir.placement.ChatKey;
import org.laurelweir.placement.ServiceView;

/**
 * Chooses the backend server for a request. It compares a few candidates only, whatever the size of
 * the service: the servers that rank first for the prompt's shared part, on which all routers agree
 * without messages, and two random ones. Requests with hot prompt parts spill over to the random
 * candidates, which also balance the load.
 */
final class ServerChoice {
    /** Minimum number of candidates by rank; the next one is used if the first has no room. */
    private static final int MIN_RANKED_CANDIDATES = 3;

    /** Maximum share of the mean load that the requests with one shared part may make up. */
    private static final double MAX_PART_SHARE = 0.33;

    /** Number of requests with one shared part that a single home always accepts. */
    private static final int MIN_PART_REQUESTS = 2;

    /** Maximum number of homes of a part; each further home has to read the part once. */
    private static final int MAX_HOMES = 8;

    /** Number of random candidates; two bring the load of the fullest server close to the mean. */
    private static final int RANDOM_CANDIDATES = 2;

    private final BackendSource mBackends;
    private final ServerTable mServers;
    private final LoadEstimator mLoads;
    private final SlowStartLimiter mSlowStarts;
    private final SplittableRandom mRandom;
    private final Map<String, ServingServers> mServing = new HashMap<>();

    ServerChoice(
            BackendSource backends,
            ServerTable servers,
            LoadEstimator loads,
            SlowStartLimiter slowStarts,
            long seed) {
        mSlowStarts = slowStarts;
        mBackends = backends;
        mServers = servers;
        mLoads = loads;
        mRandom = new SplittableRandom(seed);
    }

    /**
     * A choice and the values that it is based on, for the decision log.
     *
     * @param server the chosen backend server
     * @param reason the reason, one of a few fixed words
     * @param candidates ids of the compared servers, best first
     * @param load the estimated load of the chosen server, in requests
     * @param bound the load above which a server is not chosen by its rank; NaN if no bound applies
     * @param loadAgeMillis the age of the load in milliseconds; NaN if no recent load is known
     */
    record Choice(
            Candidate server,
            String reason,
            List<String> candidates,
            double load,
            double bound,
            double loadAgeMillis) {}

    /** A candidate with the estimate of its load. */
    private record CandidateLoad(Candidate server, LoadEstimator.Estimate estimate) {
        double load() {
            return estimate.requests();
        }
    }

    /** Returns the number of backend servers of a service that accept new requests. */
    int servingCount(String service) {
        return serving(service).mCandidates.size();
    }

    /** Chooses a server that has not been tried for the request, or none if no server has room. */
    Optional<Choice> choose(ActiveRequest r, Instant now) {
        List<CandidateLoad> all =
                candidates(r, now).values().stream().map(c -> withLoad(r, c, now)).toList();
        if (!r.mRequest.prompt().isPresent()) {
            return leastLoaded(r, all, "least_loaded", Double.NaN, now);
        }
        SpillBound bound = new SpillBound(mean(r, all, now));
        return firstWithinBound(all, bound)
                .or(() -> leastLoaded(r, all, "all_over_bound", bound.upper(), now));
    }

    private CandidateLoad withLoad(ActiveRequest r, Candidate c, Instant now) {
        return new CandidateLoad(c, mLoads.estimate(now, r.mService, c.ref()));
    }

    /** Returns the mean load of the service or, if it is unknown, of the candidates. */
    private double mean(ActiveRequest r, List<CandidateLoad> all, Instant now) {
        double mean = mLoads.mean(now, r.mService);
        return Double.isNaN(mean)
                ? all.stream().mapToDouble(CandidateLoad::load).average().orElse(0)
                : mean;
    }

    private Optional<Choice> firstWithinBound(List<CandidateLoad> all, SpillBound bound) {
        return all.stream()
                .filter(c -> hasRoom(c) && bound.admits(c.load(), mRandom.nextDouble()))
                .findFirst()
                .map(c -> choice(c, c == all.get(0) ? "home" : "next", all, bound.upper()));
    }

    private Optional<Choice> leastLoaded(
            ActiveRequest r, List<CandidateLoad> all, String reason, double bound, Instant now) {
        return all.stream()
                .filter(c -> canAccept(r, c))
                .min(
                        Comparator.comparing((CandidateLoad c) -> isAvoided(r, c.server(), now))
                                .thenComparingDouble(CandidateLoad::load))
                .map(c -> choice(c, reason, all, bound));
    }

    private static Choice choice(
            CandidateLoad c, String reason, List<CandidateLoad> all, double bound) {
        List<String> ids = all.stream().map(o -> o.server().id()).toList();
        return new Choice(c.server(), reason, ids, c.load(), bound, c.estimate().ageMillis());
    }

    /**
     * Returns whether a request should go to another candidate if there is one. A request that is
     * not repeatable is lost if its server fails, so it avoids servers that failed recently.
     * Ejection alone is not enough: it takes two consecutive failures, which are rare at a server
     * that fails only some of its requests. Repeatable requests still go to such a server and show
     * whether it has recovered.
     */
    private boolean isAvoided(ActiveRequest r, Candidate c, Instant now) {
        return !r.route().isRepeatable() && mServers.isUnreliable(r.mService, c.ref(), now);
    }

    /**
     * Returns whether a request may be sent to a server. A request without a prompt may be sent
     * even if the server is full by its estimated load, because the estimate may be out of date. A
     * full server rejects such a request at once and is then passed over for a moment. A request
     * with a prompt would wait in the engine's queue instead.
     */
    private boolean canAccept(ActiveRequest r, CandidateLoad c) {
        return r.mRequest.prompt().isPresent()
                ? hasRoom(c)
                : isBelowSlots(c.server(), mLoads.ownRequests(c.server().ref()));
    }

    /**
     * Returns whether a server has a free slot; without one, it would only queue the request. The
     * mean of the other servers is no reason to reject: if the load of this server is unknown, only
     * this router's own requests count.
     */
    private boolean hasRoom(CandidateLoad c) {
        boolean isKnown = !Double.isNaN(c.estimate().ageMillis());
        return isBelowSlots(c.server(), isKnown ? c.load() : mLoads.ownRequests(c.server().ref()));
    }

    private boolean isBelowSlots(Candidate c, double load) {
        int slots = slots(c);
        return slots <= 0 || load < slots;
    }

    private int slots(Candidate c) {
        int reported = mServers.slots(c.ref());
        return reported > 0 ? reported : (int) c.weight();
    }

    private Map<String, Candidate> candidates(ActiveRequest r, Instant now) {
        Map<String, Candidate> found = new LinkedHashMap<>();
        ServiceView view = mBackends.view(r.mService);
        if (r.mRequest.prompt().isPresent()) {
            ChatKey key = r.mRequest.prompt().key();
            int homes = homeCount(r, now);
            int ranked = Math.max(MIN_RANKED_CANDIDATES, homes);
            List<Candidate> top =
                    view.ranking().top(key, ranked + r.mTriedServers.size()).stream()
                            .filter(c -> isEligible(r, c, now))
                            .limit(ranked)
                            .toList();
            startAtRandomHome(top, homes).forEach(c -> found.put(c.id(), c));
        }
        addRandom(r, now, found);
        return found;
    }

    /**
     * Returns the number of homes of the prompt's shared part: the servers by rank that share its
     * requests. One is enough for nearly all parts. The requests of a hot prompt part would
     * overload a single home before the other routers learn of its load.
     */
    private int homeCount(ActiveRequest r, Instant now) {
        int requests = mLoads.requestsForPart(now, r.sharedPartId());
        double mean = mLoads.mean(now, r.mService);
        if (requests == 0 || Double.isNaN(mean)) {
            return 1;
        }
        double perHome = Math.max(MIN_PART_REQUESTS, MAX_PART_SHARE * mean);
        return (int) Math.min(MAX_HOMES, Math.ceil(requests / perHome));
    }

    /** Rotates the candidates so that they start at a random one of the homes. */
    private List<Candidate> startAtRandomHome(List<Candidate> top, int homes) {
        if (homes <= 1 || top.size() <= 1) {
            return top;
        }
        List<Candidate> rotated = new ArrayList<>(top);
        Collections.rotate(rotated, -mRandom.nextInt(Math.min(homes, top.size())));
        return rotated;
    }

    private void addRandom(ActiveRequest r, Instant now, Map<String, Candidate> found) {
        List<Candidate> serving = serving(r.mService).mCandidates;
        int maxSize = found.size() + RANDOM_CANDIDATES;
        int start = serving.isEmpty() ? 0 : mRandom.nextInt(serving.size());
        for (int i = 0; i < serving.size() && found.size() < maxSize; i++) {
            Candidate c = serving.get((start + i * stride(serving.size())) % serving.size());
            if (isEligible(r, c, now)) {
                found.putIfAbsent(c.id(), c);
            }
        }
    }

    /**
     * Returns a stride that has no common divisor with the size, and so visits every server once.
     */
    private static int stride(int size) {
        return size % 7 == 0 ? 1 : 7;
    }

    private boolean isEligible(ActiveRequest r, Candidate c, Instant now) {
        return !r.mTriedServers.contains(c.id())
                && !mServers.isPassedOver(r.mService, c.ref(), now)
                && isWarmOrPermitted(c, now)
                && isInAllowedRegion(r, c);
    }

    /** Returns whether a server is not in slow start, or takes a request of this router even so. */
    private boolean isWarmOrPermitted(Candidate c, Instant now) {
        return !mBackends.isInSlowStart(c.id(), now) || mSlowStarts.permits(now, c.ref());
    }

    private boolean isInAllowedRegion(ActiveRequest r, Candidate c) {
        if (!r.mRequest.allowedRegions().isLimited()) {
            return true;
        }
        Backend b = mBackends.backend(c.id());
        return b != null && r.mRequest.allowedRegions().allows(b.region());
    }

    private ServingServers serving(String service) {
        ServiceView view = mBackends.view(service);
        ServingServers servers = mServing.get(service);
        if (servers == null || servers.mVersion != view.version()) {
            servers = new ServingServers(view);
            mServing.put(service, servers);
        }
        return servers;
    }

    /** The servers that accept new requests, in one version of the view of a service. */
    private static final class ServingServers {
        private final long mVersion;
        private final List<Candidate> mCandidates;

        ServingServers(ServiceView view) {
            mVersion = view.version();
            mCandidates = view.candidates().stream().filter(c -> !c.draining()).toList();
        }
    }
}
