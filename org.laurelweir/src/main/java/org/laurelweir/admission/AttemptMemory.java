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
 * What became of attempts that the sidecar no longer holds.
 *
 * <p>A router that was told "not run" may send the request elsewhere, while the message that begins
 * the attempt still lies in a connection that nothing reads. When that message arrives, the attempt
 * would run a second time; so the sidecar remembers what it denied, and what it ran.
 *
 * <p>The memory is bounded in time and count, and forgets safely. A router numbers its requests as
 * they arrive, and an id is kept longer than any request's deadline. When an id is forgotten, every
 * request of the same router's run with the same or a lower number was given up by its caller
 * before, so nothing about it need be begun any more: the number becomes the run's floor, and at or
 * below a floor nothing starts and nothing is promised. Forgetting early, by count, thus costs a
 * refused retry and never a second run. Floors of router runs are bounded by count too; the oldest
 * goes first, whose process ended long ago and its connections with it.
 */
final class AttemptMemory {
    /** What is remembered of an attempt. */
    enum Outcome {
        /** It never started and never will. */
        NEVER_STARTED,
        /** It ran, or may have. */
        RAN,
        /** It is too old to tell: it must not start, and nothing may be promised of it. */
        FORGOTTEN,
        /** It was never heard of. */
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
     * @param keep longer than any request's deadline
     * @param maxAttempts most ids
     * @param maxRouterRuns most floors
     */
    AttemptMemory(Duration keep, int maxAttempts, int maxRouterRuns) {
        mRetention = keep;
        mMaxAttempts = maxAttempts;
        mMaxRouterRuns = maxRouterRuns;
    }

    /** Remembers what became of an attempt; what was remembered first stays. */
    void put(Instant now, AttemptId id, Outcome past) {
        if (mOutcomes.putIfAbsent(id, past) != null) {
            return;
        }
        mEntriesByAge.add(new Entry(id, now.plus(mRetention)));
        if (mEntriesByAge.size() > mMaxAttempts) {
            forget(mEntriesByAge.remove().id());
        }
    }

    /** Returns what is known of an attempt. */
    Outcome find(AttemptId id) {
        Outcome past = mOutcomes.get(id);
        if (past != null) {
            return past;
        }
        Long floor = mHighestForgotten.get(new RouterRun(id.router(), id.routerIncarnation()));
        return floor != null && id.request() <= floor ? Outcome.FORGOTTEN : Outcome.UNKNOWN;
    }

    /** Forgets what is old enough. */
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
