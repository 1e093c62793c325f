package org.laurelweir.direct;

import java.time.Duration;
import java.time.Instant;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.laurelweir.load.LoadEstimator;
import org.laurelweir.membership.Backend;
import org.laurelweir.placement.Candidate;

/**
 * Chooses the backend server for a request. It compares a few candidates only, whatever the size of
 * the service: the servers that rank first for the prompt's shared part, on which all routers agree
 * without messages, and two random ones. Requests with hot prompt parts spill over to the random
 * candidates, which also balance the load. {@link CandidateFinder} finds the candidates, and {@link
 * CandidateFilter} says which servers may be among them.
 */
final class ServerChoice {
    private final BackendSource mBackends;
    private final ServerTable mServers;
    private final LoadEstimator mLoads;
    private final RestorableRandom mRandom;
    private final CandidateFinder mCandidates;
    private final ContendedChoice mContended;

    ServerChoice(
            BackendSource backends,
            ServerTable servers,
            LoadEstimator loads,
            SlowStartLimiter slowStarts,
            ContendedCalls contended,
            long seed) {
        mBackends = backends;
        mServers = servers;
        mLoads = loads;
        mRandom = new RestorableRandom(seed);
        CandidateFilter filter = new CandidateFilter(backends, servers, slowStarts);
        mCandidates = new CandidateFinder(backends, loads, filter, mRandom);
        mContended = new ContendedChoice(this, servers, contended, mRandom);
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
     * @param version the software version of the chosen server, or empty if it is unknown
     */
    record Choice(
            Candidate server,
            String reason,
            List<String> candidates,
            double load,
            double bound,
            double loadAgeMillis,
            String version) {}

    /** A candidate with the estimate of its load. */
    record CandidateLoad(Candidate server, LoadEstimator.Estimate estimate) {
        double load() {
            return estimate.requests();
        }
    }

    /** Returns the number of backend servers of a service that accept new requests. */
    int servingCount(String service) {
        return mCandidates.servingCount(service);
    }

    /** Returns the backend servers of a service that accept new requests. */
    List<Candidate> serving(String service) {
        return mCandidates.serving(service);
    }

    /** Returns whether a serving backend server has the version that a stream has to go on at. */
    boolean hasVersion(String service, String version) {
        return mCandidates.hasVersion(service, version);
    }

    /**
     * Returns the time until the first of the servers that may run a request ends its backoff, or
     * zero if there is one that is not in backoff, or none at all.
     */
    Duration timeUntilBackoffEnds(ActiveRequest r, Instant now) {
        return mCandidates
                .earliestBackoffEnd(r, now)
                .map(end -> Duration.between(now, end))
                .orElse(Duration.ZERO);
    }

    /**
     * What would be chosen for a request now.
     *
     * @param candidates the servers that would be compared, best by rank first
     * @param choice the choice, or none if no server has room
     */
    record Preview(List<Candidate> candidates, Optional<Choice> choice) {}

    /** Returns what would be chosen, without using up random numbers. */
    Preview preview(ActiveRequest r, Instant now) {
        long state = mRandom.state();
        try {
            List<Candidate> candidates = List.copyOf(mCandidates.find(r, now));
            mRandom.restore(state);
            return new Preview(candidates, choose(r, now));
        } finally {
            mRandom.restore(state);
        }
    }

    /** Chooses a server that has not been tried for the request, or none if no server has room. */
    Optional<Choice> choose(ActiveRequest r, Instant now) {
        List<CandidateLoad> all =
                mCandidates.find(r, now).stream().map(c -> withLoad(r, c, now)).toList();
        if (r.mRequest.terms().contended()) {
            return mContended.choose(r, all, now);
        }
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
    double mean(ActiveRequest r, List<CandidateLoad> all, Instant now) {
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

    Choice choice(CandidateLoad c, String reason, List<CandidateLoad> all, double bound) {
        List<String> ids = all.stream().map(o -> o.server().id()).toList();
        return new Choice(
                c.server(),
                reason,
                ids,
                c.load(),
                bound,
                c.estimate().ageMillis(),
                version(c.server()));
    }

    private String version(Candidate c) {
        Backend b = mBackends.backend(c.id());
        return b != null && b.ref().equals(c.ref()) ? b.version() : "";
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
    boolean canAccept(ActiveRequest r, CandidateLoad c) {
        return r.mRequest.prompt().isPresent()
                ? hasRoom(c)
                : isBelowSlots(c.server(), mLoads.ownRequests(c.server().ref()));
    }

    /**
     * Returns whether a server has a free slot; without one, it would only queue the request. The
     * mean of the other servers is no reason to reject: if the load of this server is unknown, only
     * this router's own requests count.
     */
    boolean hasRoom(CandidateLoad c) {
        boolean isKnown = !Double.isNaN(c.estimate().ageMillis());
        return isBelowSlots(c.server(), isKnown ? c.load() : mLoads.ownRequests(c.server().ref()));
    }

    private boolean isBelowSlots(Candidate c, double load) {
        int slots = slots(c);
        return slots <= 0 || load < slots;
    }

    /** Returns the number of slots of a server as reported or announced, or 0 if unknown. */
    int slots(Candidate c) {
        int reported = mServers.slots(c.ref());
        return reported > 0 ? reported : (int) c.weight();
    }
}
