package org.laurelweir.direct;

import java.time.Instant;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.random.RandomGenerator;
import org.laurelweir.load.LoadEstimator;
import org.laurelweir.placement.Candidate;
import org.laurelweir.placement.ChatKey;
import org.laurelweir.placement.ServiceView;

/** Finds the few backend servers that are compared for a request. */
final class CandidateFinder {
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

    /**
     * The same for plain servers of a contended deployment. These services have three or four
     * servers, and two of them may fail at the same time.
     */
    private static final int CONTENDED_PLAIN_CANDIDATES = 4;

    private final BackendSource mBackends;
    private final LoadEstimator mLoads;
    private final CandidateFilter mFilter;
    private final RandomGenerator mRandom;
    private final Map<String, ServingServers> mServing = new HashMap<>();

    CandidateFinder(
            BackendSource backends,
            LoadEstimator loads,
            CandidateFilter filter,
            RandomGenerator random) {
        mBackends = backends;
        mLoads = loads;
        mFilter = filter;
        mRandom = random;
    }

    /** Returns the number of backend servers of a service that accept new requests. */
    int servingCount(String service) {
        return serving(service).size();
    }

    /** Returns the backend servers of a service that accept new requests. */
    List<Candidate> serving(String service) {
        return servers(service).mCandidates;
    }

    /** Returns whether a serving backend server has the version that a stream has to go on at. */
    boolean hasVersion(String service, String version) {
        return serving(service).stream()
                .map(c -> mBackends.backend(c.id()))
                .anyMatch(b -> b != null && b.version().equals(version));
    }

    /**
     * Returns when the first of the servers that may run a request ends its backoff, or empty if
     * there is one that is not in backoff, or none at all.
     */
    Optional<Instant> earliestBackoffEnd(ActiveRequest r, Instant now) {
        Instant earliest = null;
        for (Candidate c : serving(r.mService)) {
            if (!mFilter.mayRun(r, c)) {
                continue;
            }
            Optional<Instant> end = mFilter.backoffEnd(c, now);
            if (end.isEmpty()) {
                return Optional.empty();
            }
            earliest = earliest == null || end.get().isBefore(earliest) ? end.get() : earliest;
        }
        return Optional.ofNullable(earliest);
    }

    /**
     * Returns the candidates for a request, those by rank before the random ones. A stream that has
     * to go on at one version may have few servers left: if all of them failed lately, they are
     * tried even so.
     */
    Collection<Candidate> find(ActiveRequest r, Instant now) {
        Collection<Candidate> found = find(r, now, false);
        return found.isEmpty() && r.mRequiredVersion != null ? find(r, now, true) : found;
    }

    private Collection<Candidate> find(ActiveRequest r, Instant now, boolean withEjected) {
        Map<String, Candidate> found = new LinkedHashMap<>();
        ServiceView view = mBackends.view(r.mService);
        if (r.mRequest.prompt().isPresent()) {
            ChatKey key = r.mRequest.prompt().key();
            int homes = homeCount(r, now);
            int ranked = Math.max(MIN_RANKED_CANDIDATES, homes);
            List<Candidate> top =
                    view.ranking().top(key, ranked + r.mTriedServers.size()).stream()
                            .filter(c -> mFilter.isEligible(r, c, now, withEjected))
                            .limit(ranked)
                            .toList();
            startAtRandomHome(top, homes).forEach(c -> found.put(c.id(), c));
        }
        addRandom(r, now, withEjected, found);
        return found.values();
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

    private void addRandom(
            ActiveRequest r, Instant now, boolean withEjected, Map<String, Candidate> found) {
        List<Candidate> serving = serving(r.mService);
        int maxSize = found.size() + randomCount(r);
        int start = serving.isEmpty() ? 0 : mRandom.nextInt(serving.size());
        for (int i = 0; i < serving.size() && found.size() < maxSize; i++) {
            Candidate c = serving.get((start + i * stride(serving.size())) % serving.size());
            if (mFilter.isEligible(r, c, now, withEjected)) {
                found.putIfAbsent(c.id(), c);
            }
        }
    }

    private static int randomCount(ActiveRequest r) {
        boolean isPlain = !r.mRequest.prompt().isPresent();
        return isPlain && r.mRequest.terms().contended()
                ? CONTENDED_PLAIN_CANDIDATES
                : RANDOM_CANDIDATES;
    }

    /**
     * Returns a stride that has no common divisor with the size, and so visits every server once.
     */
    private static int stride(int size) {
        return size % 7 == 0 ? 1 : 7;
    }

    private ServingServers servers(String service) {
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
