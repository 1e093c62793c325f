package org.laurelweir.direct;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Holds the calls that reach a router before it has its first settings. A restarted router receives
 * its settings some tenths of a second after it starts to listen. A caller that is rejected in that
 * time uses up one of its few retries and retries late. A call that waits here is served as soon as
 * the settings arrive.
 *
 * <p>The wait is short compared to the caller's timeout: a call that cannot be served is rejected
 * early enough for a retry. The number of waiting calls is bounded. Not thread-safe.
 *
 * @param <T> the type of the stored calls
 */
public final class EarlyCalls<T> {
    /**
     * Maximum wait of a call. If control is available, a router has its first settings within this
     * time, even on a small machine. A longer wait would leave the caller too little time for a
     * retry.
     */
    private static final Duration MAX_WAIT = Duration.ofMillis(800);

    /** A call waits at most its timeout divided by this; the rest is left for a retry. */
    private static final int TIME_DIVISOR = 4;

    /** Maximum number of waiting calls; a router could not serve more of them in time. */
    private static final int MAX_WAITING_CALLS = 256;

    private final Map<Long, Waiting<T>> mWaiting = new LinkedHashMap<>();

    private record Waiting<T>(T call, Instant expiry) {}

    /**
     * Stores a call if the maximum number is not reached.
     *
     * @param now the current time
     * @param caller the caller's number, which identifies the call
     * @param timeout how long the caller waits for an answer
     * @param call the call to store
     * @return whether the call is stored; otherwise it has to be rejected
     */
    public boolean add(Instant now, long caller, Duration timeout, T call) {
        if (mWaiting.size() >= MAX_WAITING_CALLS) {
            return false;
        }
        Duration fraction = timeout.dividedBy(TIME_DIVISOR);
        Duration wait = fraction.compareTo(MAX_WAIT) < 0 ? fraction : MAX_WAIT;
        mWaiting.put(caller, new Waiting<>(call, now.plus(wait)));
        return true;
    }

    /**
     * Removes the call of a caller that has disconnected.
     *
     * @return whether the call was waiting
     */
    public boolean remove(long caller) {
        return mWaiting.remove(caller) != null;
    }

    /** Returns whether no call is waiting. */
    public boolean isEmpty() {
        return mWaiting.isEmpty();
    }

    /** Removes and returns all calls in the order of their arrival, to be served now. */
    public List<T> takeAll() {
        List<T> all = mWaiting.values().stream().map(Waiting::call).toList();
        mWaiting.clear();
        return all;
    }

    /** Removes and returns the calls whose wait has expired and that have to be rejected. */
    public List<T> takeExpired(Instant now) {
        List<T> expired = new ArrayList<>();
        Iterator<Waiting<T>> waiting = mWaiting.values().iterator();
        while (waiting.hasNext()) {
            Waiting<T> w = waiting.next();
            if (!now.isBefore(w.expiry())) {
                waiting.remove();
                expired.add(w.call());
            }
        }
        return expired;
    }
}
