package org.laurelweir.load;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Sums over sources here and at a peer, whatever comes and goes. */
class SharedCountsTest {
    private static final int STEPS = 5000;
    private static final int SOURCES = 4;
    private static final int KEYS = 6;
    private static final Duration LONG = Duration.ofDays(1);

    private final SharedCounts<Integer> mHere = new SharedCounts<>();
    private final SharedCounts<Integer> mPeer = new SharedCounts<>();
    private final Map<String, Map<Integer, Integer>> mTrue = new TreeMap<>();

    private void step(Random random) {
        String source = "r" + random.nextInt(SOURCES);
        Map<Integer, Integer> counts = mTrue.computeIfAbsent(source, s -> new TreeMap<>());
        int key = random.nextInt(KEYS);
        int count = random.nextInt(3);
        SharedCounts<Integer> side = source.equals("r0") ? mPeer : mHere;
        if (random.nextInt(10) == 0) {
            counts.clear();
            side.forgetSource(source);
        } else if (random.nextBoolean()) {
            set(counts, key, count);
            side.put(source, counts);
        } else {
            set(counts, key, count);
            side.change(source, Map.of(key, count));
        }
    }

    private static void set(Map<Integer, Integer> counts, int key, int count) {
        if (count == 0) {
            counts.remove(key);
        } else {
            counts.put(key, count);
        }
    }

    private int sum(int key) {
        return mTrue.values().stream().mapToInt(c -> c.getOrDefault(key, 0)).sum();
    }

    // What was there for a moment only stayed as a number of nothing, for good.
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5})
    void sumsAreThoseOfTheSourcesAndNothingIsLeftBehind(long seed) {
        Random random = new Random(seed);
        for (int i = 0; i < STEPS; i++) {
            step(random);
            if (random.nextInt(3) == 0) {
                mPeer.takeUntold((key, n) -> mHere.putOfPeer(Instant.EPOCH, "c1", key, n));
                int known = 0;
                for (int key = 0; key < KEYS; key++) {
                    assertThat(mHere.get(key)).isEqualTo(sum(key));
                    known += sum(key) > 0 ? 1 : 0;
                }
                assertThat(mHere.size()).isEqualTo(known);
            }
        }
        mHere.forgetPeer("c1");
        mTrue.keySet().forEach(mHere::forgetSource);
        mHere.forget(Instant.EPOCH, LONG);
        assertThat(mHere.size()).isZero();
    }
}
