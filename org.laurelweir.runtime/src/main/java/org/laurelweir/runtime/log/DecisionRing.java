package org.laurelweir.runtime.log;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.Iterator;
import java.util.List;
import org.laurelweir.lib.Decision;

/**
 * Keeps the newest decisions, for operators who ask why a request went where it did. Thread-safe.
 */
public final class DecisionRing {
    private final int mCapacity;
    private final Deque<Decision> mDecisions = new ArrayDeque<>();

    /**
     * Creates an empty ring.
     *
     * @param capacity maximum number of decisions kept
     */
    public DecisionRing(int capacity) {
        mCapacity = capacity;
    }

    /** Adds a decision. Evicts the oldest one if the ring is full. */
    public synchronized void add(Decision decision) {
        if (mDecisions.size() == mCapacity) {
            mDecisions.removeFirst();
        }
        mDecisions.addLast(decision);
    }

    /**
     * Returns the decisions about a subject, newest first.
     *
     * @param subject a request's name (matches all of its attempts), an attempt's name, or a chat's
     *     key in hexadecimal; empty matches every decision
     * @param limit maximum number of decisions to return
     */
    public synchronized List<Decision> find(String subject, int limit) {
        List<Decision> found = new ArrayList<>();
        Iterator<Decision> newestFirst = mDecisions.descendingIterator();
        while (newestFirst.hasNext() && found.size() < limit) {
            Decision d = newestFirst.next();
            if (subject.isEmpty() || matches(d, subject)) {
                found.add(d);
            }
        }
        return found;
    }

    private static boolean matches(Decision d, String subject) {
        return matchesRequest(d.request(), subject)
                || (d.chat() != 0 && subject.equals(Long.toHexString(d.chat())));
    }

    private static boolean matchesRequest(String requestName, String subject) {
        return requestName.equals(subject) || requestName.startsWith(subject + ".");
    }
}
