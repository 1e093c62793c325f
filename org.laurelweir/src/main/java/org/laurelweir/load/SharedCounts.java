package org.laurelweir.load;

import org.laurelweir.sums.Arithmetic;
import org.laurelweir.sums.SharedSums;

/**
 * Counts that are summed over many sources.
 *
 * @param <K> the type of the keys of the counts
 */
final class SharedCounts<K> extends SharedSums<K, Integer> {
    SharedCounts() {
        super(Arithmetic.INTEGERS);
    }
}
