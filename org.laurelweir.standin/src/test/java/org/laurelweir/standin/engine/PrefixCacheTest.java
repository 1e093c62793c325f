package org.laurelweir.standin.engine;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;

/**
 * Checks that the prefix cache stays within its capacity and holds no block whose predecessor was
 * evicted.
 */
class PrefixCacheTest {
    private static final int CAPACITY = 10;
    private static final int LENGTH = 8;

    @Property(seed = "42", tries = 300)
    void staysWithinCapacityAndHoldsOnlyReachableBlocks(
            @ForAll @Size(max = 40) List<@IntRange(min = 0, max = 40) Integer> uses) {
        Set<Long> held = new HashSet<>();
        PrefixCache cache =
                new PrefixCache(
                        CAPACITY,
                        c -> {
                            if (c.stored()) {
                                held.add(c.block());
                            } else {
                                held.remove(c.block());
                            }
                        });
        for (int use : uses) {
            long[] hashes = chat(use % 6);
            int n = 1 + use % LENGTH;
            int matched = cache.match(hashes, n);
            cache.store(hashes, n);

            assertThat(matched).isLessThanOrEqualTo(n);
            assertThat(cache.match(hashes, LENGTH)).isGreaterThanOrEqualTo(n);
            assertThat(held).hasSize(cache.size()).hasSizeLessThanOrEqualTo(CAPACITY);
            assertThat(held).allMatch(b -> b % 100 == 0 || held.contains(predecessor(b)));
        }
    }

    /** Returns the block hashes of a chat. Each pair of chats shares its first three blocks. */
    private static long[] chat(int number) {
        long[] hashes = new long[LENGTH];
        for (int i = 0; i < LENGTH; i++) {
            hashes[i] = (i < 3 ? number / 2 * 1000L : 100_000L * (number + 1)) + i;
        }
        return hashes;
    }

    private static long predecessor(long block) {
        long i = block % 100;
        boolean branch = block >= 100_000 && i == 3;
        long number = block / 100_000 - 1;
        return branch ? number / 2 * 1000L + 2 : block - 1;
    }
}
