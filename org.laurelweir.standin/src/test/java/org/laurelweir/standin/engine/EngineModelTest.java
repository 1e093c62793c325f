package org.laurelweir.standin.engine;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

/** Checks properties of the engine model over random sequences of events. */
class EngineModelTest {
    private static final Instant START = Instant.parse("2026-12-02T00:00:00Z");
    private static final BatchSettings SMALL = new BatchSettings(100, 4, 1000, 3, 4, 24, 8);

    /**
     * An action of a caller.
     *
     * @param pause milliseconds since the action before
     * @param kind 0 submits, 1 cancels, 2 resumes; 3 only lets time pass
     * @param request the number of the request
     * @param size the blocks of the prompt and the tokens of the answer of a submitted request
     */
    record Action(int pause, int kind, int request, int size) {}

    @Provide
    Arbitrary<List<Action>> actions() {
        return Combinators.combine(
                        Arbitraries.integers().between(0, 400),
                        Arbitraries.integers().between(0, 3),
                        Arbitraries.integers().between(0, 20),
                        Arbitraries.integers().between(1, 40))
                .as(Action::new)
                .list()
                .ofMaxSize(60);
    }

    @Property(seed = "42", tries = 300)
    void everyRunEndsOnceAndCacheStaysWithinCapacity(@ForAll("actions") List<Action> actions) {
        ModelDriver driver = new ModelDriver();
        actions.forEach(driver::play);
        driver.drain();

        assertThat(driver.mActive).isEmpty();
        assertThat(driver.mModel.isBusy()).isFalse();
    }

    @Property(seed = "42", tries = 100)
    void resumedAnswerContinuesAtOffset(
            @ForAll @IntRange(min = 0, max = 400) int cancelAfter,
            @ForAll @IntRange(min = 0, max = 20) int overlap) {
        ModelDriver driver = new ModelDriver();
        driver.step(new EngineEvent.Submit(request("r", 4, 40), EngineEvent.NO_CUT));
        driver.mNow = driver.mNow.plusMillis(cancelAfter);
        driver.step(new EngineEvent.Cancel("r"));
        int produced = driver.mProduced.getOrDefault("r", 0);
        int offset = Math.max(0, produced - overlap);

        driver.mProduced.put("r", offset);
        driver.step(new EngineEvent.Resume("r", offset, EngineEvent.NO_CUT));
        driver.drain();

        assertThat(driver.mProduced).containsEntry("r", 40);
    }

    @Test
    void streamRateFallsWithBatchSize() {
        int alone = tokensOfFirstAfterOneSecond(1);
        int three = tokensOfFirstAfterOneSecond(3);

        assertThat(alone).isBetween(90, 100);
        assertThat(three).isBetween(55, 70);
    }

    @Test
    void cachedPromptNeedsNoPrefill() {
        ModelDriver driver = new ModelDriver();
        driver.step(new EngineEvent.Submit(request("cold", 20, 4), EngineEvent.NO_CUT));
        driver.drain();
        driver.step(new EngineEvent.Submit(request("warm", 20, 4), EngineEvent.NO_CUT));

        assertThat(driver.mCached).containsEntry("cold", 0).containsEntry("warm", 320);
    }

    @Test
    void higherPriorityEntersBatchFirst() {
        ModelDriver driver = new ModelDriver();
        for (int i = 0; i < SMALL.maxRunning(); i++) {
            driver.step(new EngineEvent.Submit(request("running" + i, 1, 20), EngineEvent.NO_CUT));
        }
        PromptBlocks blocks = request("", 1, 1).blocks();
        driver.step(
                new EngineEvent.Submit(new EngineRequest("low", blocks, 5, 0), EngineEvent.NO_CUT));
        driver.step(
                new EngineEvent.Submit(
                        new EngineRequest("high", blocks, 5, 7), EngineEvent.NO_CUT));
        driver.drain();

        assertThat(driver.mStarts.indexOf("high")).isLessThan(driver.mStarts.indexOf("low"));
    }

    @Test
    void frozenEngineProducesNoTokens() {
        ModelDriver driver = new ModelDriver();
        driver.step(new EngineEvent.Submit(request("r", 1, 50), EngineEvent.NO_CUT));
        driver.step(new EngineEvent.Freeze(driver.mNow.plusSeconds(10)));
        driver.mNow = driver.mNow.plusSeconds(10);
        driver.step(new EngineEvent.Tick());
        assertThat(driver.mProduced).doesNotContainKey("r");

        driver.drain();
        assertThat(driver.mProduced).containsEntry("r", 50);
    }

    private static int tokensOfFirstAfterOneSecond(int streams) {
        ModelDriver driver = new ModelDriver();
        for (int i = 0; i < streams; i++) {
            driver.step(new EngineEvent.Submit(request("r" + i, 1, 1000), EngineEvent.NO_CUT));
        }
        driver.mNow = driver.mNow.plusSeconds(1);
        driver.step(new EngineEvent.Tick());
        return driver.mProduced.get("r0");
    }

    private static EngineRequest request(String id, int blocks, int output) {
        long[] hashes = new long[blocks + 2];
        for (int i = 0; i < hashes.length; i++) {
            hashes[i] = i < 3 ? i : 100L * blocks + i;
        }
        int tokens = blocks * PromptBlocks.BLOCK_TOKENS;
        return new EngineRequest(id, new PromptBlocks(tokens, blocks, hashes), output, 0);
    }

    /** Drives a model and checks each effect as it occurs. */
    private static final class ModelDriver {
        private final EngineModel mModel = new EngineModel(SMALL, START, c -> {});
        private final Map<String, Integer> mProduced = new HashMap<>();
        private final Map<String, Integer> mCached = new HashMap<>();
        private final List<String> mStarts = new ArrayList<>();
        private final Set<String> mKnown = new HashSet<>();
        private final Set<String> mActive = new HashSet<>();
        private Instant mNow = START;

        void play(Action a) {
            mNow = mNow.plusMillis(a.pause());
            String id = "r" + a.request();
            switch (a.kind()) {
                case 0 -> submit(id, a.size());
                case 1 -> step(new EngineEvent.Cancel(id));
                case 2 -> resume(id);
                default -> step(new EngineEvent.Tick());
            }
        }

        void drain() {
            mNow = mNow.plusSeconds(60);
            step(new EngineEvent.Tick());
        }

        void step(EngineEvent event) {
            if (event instanceof EngineEvent.Submit s) {
                mKnown.add(s.request().id());
                mActive.add(s.request().id());
            } else if (event instanceof EngineEvent.Resume r) {
                mActive.add(r.id());
            }
            mModel.step(mNow, event, this::check);
            LoadReport load = mModel.load();
            assertThat(load.cacheBlocks()).isLessThanOrEqualTo(SMALL.cacheBlocks());
            assertThat(load.running()).isLessThanOrEqualTo(SMALL.maxRunning());
            assertThat(load.waiting()).isLessThanOrEqualTo(SMALL.maxWaiting());
        }

        private void submit(String id, int size) {
            if (mKnown.add(id)) {
                step(new EngineEvent.Submit(request(id, size, size), EngineEvent.NO_CUT));
            }
        }

        private void resume(String id) {
            step(new EngineEvent.Tick());
            if (mKnown.contains(id)) {
                step(new EngineEvent.Resume(id, mProduced.getOrDefault(id, 0), EngineEvent.NO_CUT));
            }
        }

        private void check(EngineEffect effect) {
            String id = effect.id();
            if (effect instanceof EngineEffect.Produced e) {
                assertThat(e.from()).isEqualTo(mProduced.getOrDefault(id, 0));
                mProduced.put(id, e.to());
            } else if (effect instanceof EngineEffect.Started e) {
                mStarts.add(id);
                mCached.put(id, e.cachedTokens());
            } else if (effect instanceof EngineEffect.Ended e) {
                assertThat(mActive.remove(id)).as("ends once: %s", id).isTrue();
                assertThat(e.outputTokens()).isEqualTo(mProduced.getOrDefault(id, 0));
            } else if (!(effect instanceof EngineEffect.Forgotten)) {
                assertThat(mActive.remove(id)).as("refused once: %s", id).isTrue();
            }
        }
    }
}
