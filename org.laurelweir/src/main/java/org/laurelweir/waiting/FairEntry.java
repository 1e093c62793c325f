package org.laurelweir.waiting;

import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;

/** An entry of a queue in which client accounts share the capacity by their weights. */
public interface FairEntry {
    /** Entries with a higher priority go first. */
    int priority();

    /** Returns the client account. */
    String account();

    /** Returns the work in proportion to the account's weight. */
    double weightedWork();

    /** Returns a number that is higher for entries that were added later. */
    long sequence();

    /** Returns a work in proportion to an account's weight; a weight of 0 or less counts as 1. */
    static double weighted(double work, double weight) {
        return work / (weight > 0 ? weight : 1);
    }

    /**
     * Returns the entry that a full queue evicts: of those with the lowest priority, the newest one
     * of the account that has the most waiting work in proportion to its weight. So a surge only
     * evicts requests of its own account, and a small account finds room in a full queue.
     *
     * @param entries the entries, at least one
     */
    static <E extends FairEntry> E toEvict(Collection<E> entries) {
        int lowestPriority = entries.stream().mapToInt(FairEntry::priority).min().orElseThrow();
        Map<String, Double> workByAccount = new HashMap<>();
        for (E e : entries) {
            if (e.priority() == lowestPriority) {
                workByAccount.merge(e.account(), e.weightedWork(), Double::sum);
            }
        }
        return entries.stream()
                .filter(e -> e.priority() == lowestPriority)
                .max(
                        Comparator.comparingDouble((E e) -> workByAccount.get(e.account()))
                                .thenComparingLong(FairEntry::sequence))
                .orElseThrow();
    }
}
