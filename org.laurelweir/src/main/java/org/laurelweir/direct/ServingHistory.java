package org.laurelweir.direct;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.laurelweir.lib.BackendRef;
import org.laurelweir.placement.Candidate;
import org.laurelweir.placement.ChatKey;
import org.laurelweir.placement.Ranking;
import org.laurelweir.placement.ServiceView;

/**
 * Records since when, or until when, each backend server of a service has accepted new requests. A
 * server only caches prompt parts of requests that it was sent, so a server that has just joined,
 * or that has been draining for some time, is unlikely to hold a part.
 */
final class ServingHistory {
    /** Time after which a server has likely been sent many of the parts that it ranks first for. */
    private static final Duration MIN_SERVING_TIME = Duration.ofSeconds(1);

    /** After this time most parts in use have been read at the servers that took over. */
    private static final Duration HAND_OVER_TIME = Duration.ofSeconds(10);

    /**
     * Number of servers by rank among which likely holders are searched. While a third of the
     * servers are drained or new, this many hardly ever all are.
     */
    private static final int MAX_SEARCHED_SERVERS = 8;

    private final BackendSource mBackends;
    private final Map<String, ServiceHistory> mServices = new HashMap<>();

    ServingHistory(BackendSource backends) {
        mBackends = backends;
    }

    /** Returns whether a server has been sent the parts that it ranks first for, and lately. */
    boolean mayHoldParts(String service, BackendRef ref, Instant now) {
        Period period = history(service, now).mPeriods.get(ref.id());
        return period != null && period.ref().equals(ref) && period.mayHoldParts(now);
    }

    /** Returns the servers that likely hold the parts of a key, the most likely ones first. */
    List<BackendRef> likelyHolders(String service, ChatKey key, Instant now) {
        Ranking ranking = mBackends.view(service).rankingWithDraining();
        return ranking.top(key, MAX_SEARCHED_SERVERS).stream()
                .map(Candidate::ref)
                .filter(ref -> mayHoldParts(service, ref, now))
                .toList();
    }

    /**
     * Returns whether a server has ranked first for a key for so long that it holds the parts of
     * the key, or no server does.
     */
    boolean isSettledHome(String service, ChatKey key, BackendRef server, Instant now) {
        List<BackendRef> holders = likelyHolders(service, key, now);
        return !holders.isEmpty()
                && holders.get(0).equals(server)
                && isSettled(service, server, now);
    }

    /**
     * Returns whether a server has accepted requests for so long that it holds the parts in use
     * that it ranks first for.
     */
    boolean isSettled(String service, BackendRef ref, Instant now) {
        Period period = history(service, now).mPeriods.get(ref.id());
        return period != null && period.ref().equals(ref) && period.isSettled(now);
    }

    private ServiceHistory history(String service, Instant now) {
        ServiceView view = mBackends.view(service);
        ServiceHistory known = mServices.get(service);
        if (known == null || known.mVersion != view.version()) {
            known = new ServiceHistory(view, known, now);
            mServices.put(service, known);
        }
        return known;
    }

    /**
     * The time in which one incarnation of a server accepted new requests.
     *
     * @param since its start, {@code Instant.MIN} if it began before this router knew any server
     * @param until its end, {@code Instant.MAX} while the server accepts requests
     */
    private record Period(BackendRef ref, Instant since, Instant until) {
        boolean isOpen() {
            return until.equals(Instant.MAX);
        }

        boolean mayHoldParts(Instant now) {
            return isOpen()
                    ? since.equals(Instant.MIN) || !now.isBefore(since.plus(MIN_SERVING_TIME))
                    : now.isBefore(until.plus(HAND_OVER_TIME));
        }

        boolean isSettled(Instant now) {
            return isOpen()
                    && (since.equals(Instant.MIN) || !now.isBefore(since.plus(HAND_OVER_TIME)));
        }
    }

    /** The periods of the servers in one version of the view of a service. */
    private static final class ServiceHistory {
        private final long mVersion;
        private final Map<String, Period> mPeriods = new HashMap<>();

        ServiceHistory(ServiceView view, ServiceHistory before, Instant now) {
            mVersion = view.version();
            Instant joined = before == null ? Instant.MIN : now;
            for (Candidate c : view.candidates()) {
                Period known = before == null ? null : before.mPeriods.get(c.id());
                Period period = period(c, known, joined, now);
                if (period != null) {
                    mPeriods.put(c.id(), period);
                }
            }
        }

        /** Returns the period of a server, or null if it was never seen to accept requests. */
        private static Period period(Candidate c, Period known, Instant joined, Instant now) {
            boolean isKnown = known != null && known.ref().equals(c.ref());
            if (c.draining()) {
                return isKnown && known.isOpen()
                        ? new Period(c.ref(), known.since(), now)
                        : isKnown ? known : null;
            }
            return isKnown && known.isOpen() ? known : new Period(c.ref(), joined, Instant.MAX);
        }
    }
}
