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
import org.laurelweir.placement.Candidate;
import org.laurelweir.placement.ChatKey;
import org.laurelweir.placement.ServiceView;

/**
 * Chooses a backend server. Looks at a few candidates only, whatever the size of the service: those
 * that rank first for the prompt's shared part, which all routers agree on without a message, and
 * two at random, so that a hot part spills over and load evens out.
 */
final class ServerChoice {
    /** Candidates by rank; the second takes over what the first can't carry. */
    private static final int MIN_RANKED_CANDIDATES = 3;

    /** Of a server's mean load, what requests about one part may make up. */
    private static final double MAX_PART_SHARE = 0.33;

    /** Requests about one part that its home takes in any case. */
    private static final int MIN_PART_REQUESTS = 2;

    /** Each further home has to read the part once. */
    private static final int MAX_HOMES = 8;

    /** Random candidates: two choices bring the fullest server close to the mean. */
    private static final int RANDOM_CANDIDATES = 2;

    private final BackendSource mBackends;
    private final ServerTable mServers;
    private final LoadEstimator mLoads;
    private final SplittableRandom mRandom;
    private final Map<String, ServingServers> mServing = new HashMap<>();

    ServerChoice(BackendSource source, ServerTable servers, LoadEstimator loads, long seed) {
        mBackends = source;
        mServers = servers;
        mLoads = loads;
        mRandom = new SplittableRandom(seed);
    }

    /**
     * What was chosen.
     *
     * @param server the backend server
     * @param reason why, one of a few fixed words
     * @param candidates those that were weighed, best first
     * @param load its load as known
     * @param bound the load above which it would not have been chosen by its rank; NaN where none
     *     was asked for
     * @param loadAgeMillis how long ago that load was told; NaN where none was told lately
     */
    record Choice(
            Candidate server,
            String reason,
            List<String> candidates,
            double load,
            double bound,
            double loadAgeMillis) {}

    /** A candidate with what is believed of its load. */
    private record CandidateLoad(Candidate server, LoadEstimator.Estimate estimate) {
        double load() {
            return estimate.requests();
        }
    }

    /** Returns how many backend servers of a service take new work. */
    int servingCount(String service) {
        return serving(service).mServers.size();
    }

    /** Chooses a server that was not tried yet, or none. */
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

    /** Without a mean of the whole service that of the candidates has to do. */
    private double mean(ActiveRequest r, List<CandidateLoad> all, Instant now) {
        double mean = mLoads.mean(now, r.mService);
        return Double.isNaN(mean)
                ? all.stream().mapToDouble(CandidateLoad::load).average().orElse(0)
                : mean;
    }

    private Optional<Choice> firstWithinBound(List<CandidateLoad> all, SpillBound bound) {
        return all.stream()
                .filter(w -> hasRoom(w) && bound.admits(w.load(), mRandom.nextDouble()))
                .findFirst()
                .map(w -> choice(w, w == all.get(0) ? "home" : "next", all, bound.upper()));
    }

    private Optional<Choice> leastLoaded(
            ActiveRequest r, List<CandidateLoad> all, String reason, double bound, Instant now) {
        return all.stream()
                .filter(w -> canAccept(r, w))
                .min(
                        Comparator.comparing((CandidateLoad w) -> isAvoided(r, w.server(), now))
                                .thenComparingDouble(CandidateLoad::load))
                .map(w -> choice(w, reason, all, bound));
    }

    private static Choice choice(
            CandidateLoad w, String reason, List<CandidateLoad> all, double bound) {
        List<String> ids = all.stream().map(o -> o.server().id()).toList();
        return new Choice(w.server(), reason, ids, w.load(), bound, w.estimate().ageMillis());
    }

    /**
     * A request that can't be repeated is lost with a server that fails it, and goes to one that
     * has not just failed. Ejection alone takes two failures in a row, which a server that fails
     * some of its requests seldom shows. Requests that can be repeated find out how the server
     * does.
     */
    private boolean isAvoided(ActiveRequest r, Candidate c, Instant now) {
        return !r.route().isRepeatable() && mServers.isUnreliable(r.mService, c.ref(), now);
    }

    /**
     * A plain request is offered even to a server that is full by what is believed of it, which may
     * be over already. The server refuses at once what it can't take, and is then left alone for a
     * moment. A prompt would wait in the engine's queue instead.
     */
    private boolean canAccept(ActiveRequest r, CandidateLoad w) {
        return r.mRequest.prompt().isPresent()
                ? hasRoom(w)
                : isBelowSlots(w.server(), mLoads.ownRequests(w.server().ref()));
    }

    /**
     * A server with as many requests as slots would only queue one more. Only what is known of the
     * very server counts: the mean of the others is no reason to refuse.
     */
    private boolean hasRoom(CandidateLoad w) {
        boolean known = !Double.isNaN(w.estimate().ageMillis());
        return isBelowSlots(w.server(), known ? w.load() : mLoads.ownRequests(w.server().ref()));
    }

    private boolean isBelowSlots(Candidate c, double load) {
        int slots = slots(c);
        return slots <= 0 || load < slots;
    }

    private int slots(Candidate c) {
        int told = mServers.slots(c.ref());
        return told > 0 ? told : (int) c.weight();
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
     * Returns how many servers a prompt's shared part is at home on. One is enough for nearly all;
     * a part that many ask for would fill it before any of its load is known to the others.
     */
    private int homeCount(ActiveRequest r, Instant now) {
        int requests = mLoads.requestsForPart(now, r.sharedPartId());
        double mean = mLoads.mean(now, r.mService);
        if (requests == 0 || Double.isNaN(mean)) {
            return 1;
        }
        double each = Math.max(MIN_PART_REQUESTS, MAX_PART_SHARE * mean);
        return (int) Math.min(MAX_HOMES, Math.ceil(requests / each));
    }

    /** Returns the candidates from one of the first on, those before it last. */
    private List<Candidate> startAtRandomHome(List<Candidate> top, int homes) {
        if (homes <= 1 || top.size() <= 1) {
            return top;
        }
        List<Candidate> turned = new ArrayList<>(top);
        Collections.rotate(turned, -mRandom.nextInt(Math.min(homes, top.size())));
        return turned;
    }

    private void addRandom(ActiveRequest r, Instant now, Map<String, Candidate> found) {
        List<Candidate> serving = serving(r.mService).mServers;
        int wanted = found.size() + RANDOM_CANDIDATES;
        int start = serving.isEmpty() ? 0 : mRandom.nextInt(serving.size());
        for (int i = 0; i < serving.size() && found.size() < wanted; i++) {
            Candidate c = serving.get((start + i * stride(serving.size())) % serving.size());
            if (isEligible(r, c, now)) {
                found.putIfAbsent(c.id(), c);
            }
        }
    }

    /** A stride without a common divisor with the size visits every server once. */
    private static int stride(int size) {
        return size % 7 == 0 ? 1 : 7;
    }

    private boolean isEligible(ActiveRequest r, Candidate c, Instant now) {
        return !r.mTriedServers.contains(c.id())
                && !mServers.isPassedOver(r.mService, c.ref(), now);
    }

    private ServingServers serving(String service) {
        ServiceView view = mBackends.view(service);
        ServingServers roster = mServing.get(service);
        if (roster == null || roster.mVersion != view.version()) {
            roster = new ServingServers(view);
            mServing.put(service, roster);
        }
        return roster;
    }

    /** The servers of one version of a view that take new work. */
    private static final class ServingServers {
        private final long mVersion;
        private final List<Candidate> mServers;

        ServingServers(ServiceView view) {
            mVersion = view.version();
            mServers = view.candidates().stream().filter(c -> !c.draining()).toList();
        }
    }
}
