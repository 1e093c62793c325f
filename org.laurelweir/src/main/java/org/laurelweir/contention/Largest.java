package org.laurelweir.contention;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;

/**
 * Collects the items with the largest values, up to a limit, without sorting all items.
 *
 * @param <T> the type of the items
 */
final class Largest<T> {
    private final int mLimit;
    private final PriorityQueue<Item<T>> mItems =
            new PriorityQueue<>(Comparator.<Item<T>>comparingDouble(Item::value));

    private record Item<T>(double value, T item) {}

    /** Creates an empty collection of at most a number of items. */
    Largest(int limit) {
        mLimit = limit;
    }

    /** Adds an item, and drops the one with the smallest value if there are too many. */
    void add(double value, T item) {
        if (mItems.size() < mLimit) {
            mItems.add(new Item<>(value, item));
        } else if (mLimit > 0 && value > mItems.element().value()) {
            mItems.remove();
            mItems.add(new Item<>(value, item));
        }
    }

    /** Returns the items, the one with the largest value first. */
    List<T> list() {
        List<Item<T>> items = new ArrayList<>(mItems);
        items.sort(Comparator.<Item<T>>comparingDouble(Item::value).reversed());
        return items.stream().map(Item::item).toList();
    }
}
