package org.laurelweir.load;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests the sums over local sources and those of a peer while sources change and disappear. */
class SharedCountsTest {
    private static final int STEPS = 5000;
    private static final int SOURCE_COUNT = 4;
    private static final int KEY_COUNT = 6;
    private static final Duration DAY = Duration.ofDays(1);

    private final SharedCounts<Integer> mLocal = new SharedCounts<>();
    private final SharedCounts<Integer> mPeer = new SharedCounts<>();
    private final Map<String, Map<Integer, Integer>> mExpected = new TreeMap<>();

    private void step(Random random) {
        String source = "r" + random.nextInt(SOURCE_COUNT);
        Map<Integer, Integer> counts = mExpected.computeIfAbsent(source, s -> new TreeMap<>());
        int key = random.nextInt(KEY_COUNT);
        int count = random.nextInt(3);
        SharedCounts<Integer> side = source.equals("r0") ? mPeer : mLocal;
        if (random.nextInt(10) == 0) {
            counts.clear();
            side.removeSource(source);
        } else if (random.nextBoolean()) {
            setCount(counts, key, count);
            side.replace(source, counts);
        } else {
            setCount(counts, key, count);
            side.update(source, Map.of(key, count));
        }
    }

    private static void setCount(Map<Integer, Integer> counts, int key, int count) {
        if (count == 0) {
            counts.remove(key);
        } else {
            counts.put(key, count);
        }
    }

    private int expectedSum(int key) {
        return mExpected.values().stream().mapToInt(c -> c.getOrDefault(key, 0)).sum();
    }

    // Guards against keys that keep a count of 0 forever after their sources are gone.
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5})
    void sumsMatchTheSourcesAndNoKeyIsLeftBehind(long seed) {
        Random random = new Random(seed);
        for (int i = 0; i < STEPS; i++) {
            step(random);
            if (random.nextInt(3) == 0) {
                mPeer.takePending((key, n) -> mLocal.putPeerCount(Instant.EPOCH, "c1", key, n));
                int expectedSize = 0;
                for (int key = 0; key < KEY_COUNT; key++) {
                    assertThat(mLocal.get(key)).isEqualTo(expectedSum(key));
                    expectedSize += expectedSum(key) > 0 ? 1 : 0;
                }
                assertThat(mLocal.size()).isEqualTo(expectedSize);
            }
        }
        mLocal.removePeer("c1");
        mExpected.keySet().forEach(mLocal::removeSource);
        mLocal.expire(Instant.EPOCH, DAY);
        assertThat(mLocal.size()).isZero();
    }
}
