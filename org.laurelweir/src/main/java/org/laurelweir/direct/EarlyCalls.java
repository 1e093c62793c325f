package org.laurelweir.direct;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Calls that reach a router before it has its first settings. A router that was killed alone gets
 * them some tenths of a second after it listens. A caller that is turned away until then has used
 * one of its few retries and comes back late; one that waits here is served by the same router as
 * soon as it can.
 *
 * <p>The wait is short against the time that callers have, so that one which can't be served after
 * all is still told in time to come back, and the number is bounded. Not thread-safe.
 *
 * @param <T> what is kept of a call
 */
public final class EarlyCalls<T> {
    /**
     * How long a call waits at most: the time in which a router has its first settings where
     * control serves on, also on a small machine. One that waited longer in vain would have too
     * little time left for its second try.
     */
    private static final Duration MAX_WAIT = Duration.ofMillis(800);

    /** A caller that was kept waiting in vain has three quarters of its time left. */
    private static final int TIME_DIVISOR = 4;

    /** Calls that wait at most; beyond it a router would begin with more than it can work off. */
    private static final int MAX_WAITING_CALLS = 256;

    private final Map<Long, Waiting<T>> mWaiting = new LinkedHashMap<>();

    private record Waiting<T>(T call, Instant expiry) {}

    /**
     * Keeps a call, if there is room.
     *
     * @param now when
     * @param caller names the call
     * @param time how long the caller waits for an answer
     * @param call what to keep of it
     * @return whether it is kept; otherwise it has to be turned away
     */
    public boolean keep(Instant now, long caller, Duration time, T call) {
        if (mWaiting.size() >= MAX_WAITING_CALLS) {
            return false;
        }
        Duration part = time.dividedBy(TIME_DIVISOR);
        Duration wait = part.compareTo(MAX_WAIT) < 0 ? part : MAX_WAIT;
        mWaiting.put(caller, new Waiting<>(call, now.plus(wait)));
        return true;
    }

    /**
     * Forgets a call whose caller left.
     *
     * @return whether it was kept
     */
    public boolean remove(long caller) {
        return mWaiting.remove(caller) != null;
    }

    /** Returns whether no call waits. */
    public boolean isEmpty() {
        return mWaiting.isEmpty();
    }

    /** Removes and returns all calls, in the order in which they came: they can be served now. */
    public List<T> takeAll() {
        List<T> all = mWaiting.values().stream().map(Waiting::call).toList();
        mWaiting.clear();
        return all;
    }

    /** Removes and returns the calls that have waited long enough and have to be turned away. */
    public List<T> takeExpired(Instant now) {
        List<T> overdue = new ArrayList<>();
        Iterator<Waiting<T>> each = mWaiting.values().iterator();
        while (each.hasNext()) {
            Waiting<T> w = each.next();
            if (!now.isBefore(w.expiry())) {
                each.remove();
                overdue.add(w.call());
            }
        }
        return overdue;
    }
}
