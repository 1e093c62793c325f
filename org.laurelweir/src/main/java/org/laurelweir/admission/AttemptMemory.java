package org.laurelweir.admission;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import org.laurelweir.lib.AttemptId;

/**
 * The outcomes of attempts that the sidecar no longer holds.
 *
 * <p>A router that was told "not run" may send the request to another server while the request for
 * the attempt still lies in a connection that nothing reads. If that request arrived later and
 * started the attempt, the request would run twice. So the sidecar remembers which attempts it
 * refused and which it ran.
 *
 * <p>The memory is bounded in time and count. A router numbers its requests in the order of their
 * arrival, and an id is kept longer than any request's deadline. When an id expires, the callers of
 * all requests with the same or a lower number, of the same run of the router, have given up, so
 * none of these attempts has to start any more. The highest forgotten number of a router run is
 * kept: an attempt at or below it whose id is not remembered does not start, and its outcome is not
 * reported. An id that is evicted early because the memory is full can cost a refused retry but
 * never a second run.
 *
 * <p>The number of router runs is bounded too. The oldest is evicted first; its process and its
 * connections ended long ago.
 */
final class AttemptMemory {
    /** What is known of an attempt that the sidecar does not hold. */
    enum Outcome {
        /** The attempt never started and never will. */
        NEVER_STARTED,
        /** The attempt ran or may have run. */
        RAN,
        /**
         * The attempt's id is forgotten: the attempt must not start, and its outcome can't be
         * reported.
         */
        FORGOTTEN,
        /** The sidecar has not received a message about the attempt. */
        UNKNOWN
    }

    private record RouterRun(String router, long incarnation) {}

    private record Entry(AttemptId id, Instant expiry) {}

    private final Duration mRetention;
    private final int mMaxAttempts;
    private final int mMaxRouterRuns;
    private final Map<AttemptId, Outcome> mOutcomes = new HashMap<>();
    private final Deque<Entry> mEntriesByAge = new ArrayDeque<>();
    private final LinkedHashMap<RouterRun, Long> mHighestForgotten = new LinkedHashMap<>();

    /**
     * Creates an empty memory.
     *
     * @param retention how long an id is kept; longer than any request's deadline
     * @param maxAttempts maximum number of ids
     * @param maxRouterRuns maximum number of router runs whose highest forgotten number is kept
     */
    AttemptMemory(Duration retention, int maxAttempts, int maxRouterRuns) {
        mRetention = retention;
        mMaxAttempts = maxAttempts;
        mMaxRouterRuns = maxRouterRuns;
    }

    /** Records the outcome of an attempt. A later call for the same attempt has no effect. */
    void put(Instant now, AttemptId id, Outcome outcome) {
        if (mOutcomes.putIfAbsent(id, outcome) != null) {
            return;
        }
        mEntriesByAge.add(new Entry(id, now.plus(mRetention)));
        if (mEntriesByAge.size() > mMaxAttempts) {
            forget(mEntriesByAge.remove().id());
        }
    }

    /** Returns the outcome of an attempt. */
    Outcome find(AttemptId id) {
        Outcome outcome = mOutcomes.get(id);
        if (outcome != null) {
            return outcome;
        }
        Long highestForgotten =
                mHighestForgotten.get(new RouterRun(id.router(), id.routerIncarnation()));
        return highestForgotten != null && id.request() <= highestForgotten
                ? Outcome.FORGOTTEN
                : Outcome.UNKNOWN;
    }

    /** Forgets the ids whose retention is over. */
    void expire(Instant now) {
        while (!mEntriesByAge.isEmpty() && !mEntriesByAge.peek().expiry().isAfter(now)) {
            forget(mEntriesByAge.remove().id());
        }
    }

    int size() {
        return mOutcomes.size();
    }

    private void forget(AttemptId id) {
        mOutcomes.remove(id);
        RouterRun run = new RouterRun(id.router(), id.routerIncarnation());
        mHighestForgotten.merge(run, id.request(), Math::max);
        if (mHighestForgotten.size() > mMaxRouterRuns) {
            mHighestForgotten.remove(mHighestForgotten.keySet().iterator().next());
        }
    }
}
