package org.laurelweir.runtime.log;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.Iterator;
import java.util.List;
import org.laurelweir.lib.Decision;

/** Keeps the newest decisions for operators who ask why. Thread-safe. */
public final class DecisionRing {
    private final int mCapacity;
    private final Deque<Decision> mDecisions = new ArrayDeque<>();

    /**
     * Creates an empty ring.
     *
     * @param capacity how many decisions it keeps
     */
    public DecisionRing(int capacity) {
        mCapacity = capacity;
    }

    /** Keeps a decision, in place of the oldest one if the ring is full. */
    public synchronized void add(Decision decision) {
        if (mDecisions.size() == mCapacity) {
            mDecisions.removeFirst();
        }
        mDecisions.addLast(decision);
    }

    /**
     * Returns decisions, the newest first.
     *
     * @param subject a request's name, which stands for all of its attempts, one attempt's name, or
     *     a chat's key in hexadecimal; empty for all
     * @param limit most decisions to return
     */
    public synchronized List<Decision> find(String subject, int limit) {
        List<Decision> found = new ArrayList<>();
        Iterator<Decision> newestFirst = mDecisions.descendingIterator();
        while (newestFirst.hasNext() && found.size() < limit) {
            Decision d = newestFirst.next();
            if (subject.isEmpty() || isAbout(d, subject)) {
                found.add(d);
            }
        }
        return found;
    }

    private static boolean isAbout(Decision d, String subject) {
        return isRequest(d.request(), subject)
                || (d.chat() != 0 && subject.equals(Long.toHexString(d.chat())));
    }

    private static boolean isRequest(String decided, String subject) {
        return decided.equals(subject) || decided.startsWith(subject + ".");
    }
}
