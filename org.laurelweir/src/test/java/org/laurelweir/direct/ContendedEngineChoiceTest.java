package org.laurelweir.direct;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.laurelweir.lib.BackendRef;

/** Tests the choice of engines in a contended deployment. */
class ContendedEngineChoiceTest {
    private static final Route LOOSE = ContendedFixture.stream(3000);
    private static final Prompt LARGE = ContendedFixture.prompt(1, 8620, 580);
    private static final Prompt SMALL = ContendedFixture.prompt(1, 603, 110);

    private final ContendedFixture mFleet = new ContendedFixture(6, ContendedFixture.SLOTS, 1);

    private void fillAll(double tokens) {
        for (int i = 0; i < 6; i++) {
            mFleet.mTokens.put("s" + i, tokens);
        }
    }

    // Mixed sizes at full memory: guards against a large prompt that makes an engine preempt
    // others while one has room, and against small ones being kept away from a nearly full engine.
    @Test
    void largeRequestPassesOverAnEngineWithoutMemoryForIt() {
        String home = mFleet.home(LARGE);
        mFleet.mTokens.put(home, ContendedFixture.MEMORY_TOKENS - 5000.0);
        assertThat(mFleet.chosen(LOOSE, SMALL).server().id()).isEqualTo(home);
        ServerChoice.Choice large = mFleet.chosen(LOOSE, LARGE);
        assertThat(large.server().id()).isNotEqualTo(home);
        assertThat(large.reason()).isEqualTo("no_memory");
        fillAll(ContendedFixture.MEMORY_TOKENS - 5000.0);
        assertThat(mFleet.choose(LOOSE, LARGE)).isEmpty();
        assertThat(mFleet.choose(LOOSE, SMALL)).isPresent();
    }

    // Hot part: guards against all its requests queueing at a home whose prefill is far behind.
    @Test
    void hotPartLeavesItsHomeOnceTheTargetIsAtRisk() {
        mFleet.learn(Map.of());
        String home = mFleet.home(LARGE);
        mFleet.mHolders.recordHolder(1, mFleet.backend(home).ref(), mFleet.mNow);
        Route tight = ContendedFixture.stream(400);
        ServerChoice.Choice first = mFleet.chosen(tight, LARGE);
        assertThat(first.server().id()).isEqualTo(home);
        assertThat(first.reason()).isEqualTo("within_target");
        List<String> servers = new ArrayList<>();
        for (int i = 0; i < 40; i++) {
            servers.add(mFleet.send(tight, LARGE, ContendedFixture.TERMS).mBackend.id());
        }
        assertThat(servers).filteredOn(home::equals).hasSizeBetween(2, 20);
        assertThat(servers.stream().distinct().count()).isGreaterThanOrEqualTo(3);
        assertThat(mFleet.chosen(tight, LARGE).reason()).isEqualTo("earliest");
    }

    // One slow server in six: guards against prompts that miss their target at a slow home.
    @Test
    void slowHomeIsLeftIfItWouldMissTheTarget() {
        String home = mFleet.home(LARGE);
        mFleet.learn(Map.of(home, 3.0));
        assertThat(mFleet.mCalls.slowness(mFleet.backend(home).ref(), mFleet.mNow))
                .isGreaterThan(1.5);
        assertThat(mFleet.chosen(ContendedFixture.stream(400), LARGE).server().id())
                .isNotEqualTo(home);
        assertThat(mFleet.chosen(ContendedFixture.stream(400), SMALL).server().id())
                .isEqualTo(home);
    }

    // A server near full: guards against requests that wait in an engine's queue for a slot.
    @Test
    void serverWithoutFreeSlotIsNotTaken() {
        String home = mFleet.home(SMALL);
        for (int i = 0; i < 6; i++) {
            int load = home.equals("s" + i) ? ContendedFixture.SLOTS : 120;
            mFleet.mLoads.onReportedLoad(mFleet.mNow, mFleet.backend("s" + i).ref(), load);
        }
        for (int i = 0; i < 50; i++) {
            assertThat(mFleet.chosen(LOOSE, SMALL).server().id()).isNotEqualTo(home);
        }
    }

    // Cold engines that come back: guards against speeds and cached parts of an earlier run.
    @Test
    void restartedEngineIsColdAndOfUsualSpeed() {
        String home = mFleet.home(LARGE);
        mFleet.learn(Map.of(home, 3.0));
        mFleet.mHolders.recordHolder(1, mFleet.backend(home).ref(), mFleet.mNow);
        ActiveRequest r = mFleet.request(LOOSE, LARGE, ContendedFixture.TERMS);
        assertThat(
                        mFleet.mCalls
                                .predict(
                                        r,
                                        mFleet.mCalls.demand(r),
                                        mFleet.backend(home).ref(),
                                        true,
                                        mFleet.mNow)
                                .prefillTokens())
                .isEqualTo(580);
        mFleet.restart(home);
        assertThat(mFleet.mCalls.slowness(mFleet.backend(home).ref(), mFleet.mNow)).isEqualTo(1);
        assertThat(
                        mFleet.mCalls
                                .predict(
                                        r,
                                        mFleet.mCalls.demand(r),
                                        mFleet.backend(home).ref(),
                                        true,
                                        mFleet.mNow)
                                .prefillTokens())
                .isEqualTo(9200);
    }

    // A burst of 1.7 times: guards against breaking the bound of requests per server (invariant 3).
    @Test
    void burstKeepsTheBoundOfRequestsPerServer() {
        mFleet.learn(Map.of("s0", 3.0));
        Map<String, Integer> counts = new HashMap<>();
        for (int i = 1; i <= 170; i++) {
            Prompt p = ContendedFixture.prompt(i % 5, 2041, 360);
            String id = mFleet.send(LOOSE, p, ContendedFixture.TERMS).mBackend.id();
            int count = counts.merge(id, 1, Integer::sum);
            assertThat(count).isLessThanOrEqualTo((int) (2 * i / 6.0 + 3));
        }
    }

    // Lost digests: guards against a router that refuses, or sends everything to one server, when
    // it knows its own requests only.
    @Test
    void withoutDigestsOwnRequestsDecide() {
        mFleet.learn(Map.of());
        assertThat(mFleet.ageMillis(mFleet.mNow)).isNaN();
        Map<String, Integer> counts = new HashMap<>();
        for (int i = 1; i <= 60; i++) {
            ActiveRequest r = mFleet.send(LOOSE, LARGE, ContendedFixture.TERMS);
            counts.merge(r.mBackend.id(), 1, Integer::sum);
        }
        assertThat(counts).hasSize(6);
    }

    // A router just started: guards against predictions from defaults that nothing has confirmed.
    @Test
    void routerJustStartedDecidesAsWithoutContention() {
        ContendedFixture other = new ContendedFixture(6, ContendedFixture.SLOTS, 1);
        for (int i = 0; i < 200; i++) {
            Prompt p = ContendedFixture.prompt(i % 4, 500, 100);
            String contended = mFleet.send(LOOSE, p, ContendedFixture.TERMS).mBackend.id();
            String plain = other.send(LOOSE, p, RequestTerms.NONE).mBackend.id();
            assertThat(contended).isEqualTo(plain);
        }
    }

    // Guards against a request that runs at most once at an engine that fails 45% of its requests.
    @Test
    void requestThatRunsOnceAvoidsAFailingEngine() {
        mFleet.learn(Map.of());
        String home = mFleet.home(LARGE);
        mFleet.mFailureRates.put(home, 0.45);
        Route once = ContendedFixture.route(false, true, 3000);
        assertThat(mFleet.chosen(once, LARGE).server().id()).isNotEqualTo(home);
        assertThat(mFleet.chosen(LOOSE, LARGE).server().id()).isNotEqualTo(home);
        mFleet.mFailureRates.put(home, 0.1);
        assertThat(mFleet.chosen(LOOSE, LARGE).server().id()).isEqualTo(home);
    }

    // Guards against taking an engine for fast, and the prefill rate for high, because other
    // routers made it cache the parts of this router's prompts.
    @Test
    void cacheHitsOfOtherRoutersDoNotChangeTheLearnedSpeed() {
        mFleet.learn(Map.of());
        String home = mFleet.home(LARGE);
        for (int i = 0; i < 20; i++) {
            mFleet.serve(home, 9000, 0);
        }
        mFleet.learn(Map.of());
        ActiveRequest r = mFleet.request(LOOSE, LARGE, ContendedFixture.TERMS);
        BackendRef ref = mFleet.backend(home).ref();
        double millis =
                mFleet.mCalls
                        .predict(r, mFleet.mCalls.demand(r), ref, true, mFleet.mNow)
                        .firstEventMillis();
        assertThat(millis).isBetween(200.0, 300.0);
        assertThat(mFleet.mCalls.slowness(ref, mFleet.mNow)).isBetween(0.9, 1.1);
    }

    // Guards against leaving the home, and so prefilling everywhere, since this router has not
    // seen who made the home cache a part; and against expecting that of a cold engine.
    @Test
    void firstByRankIsExpectedToHavePartsCachedIfItUsuallyHas() {
        mFleet.learn(Map.of());
        for (int i = 0; i < 60; i++) {
            mFleet.serveAtHome(9000 + i, 0);
        }
        mFleet.mNow = mFleet.mNow.plusSeconds(20);
        ActiveRequest r = mFleet.request(LOOSE, LARGE, ContendedFixture.TERMS);
        String home = mFleet.home(LARGE);
        BackendRef ref = mFleet.backend(home).ref();
        assertThat(prefillTokens(r, ref, true)).isLessThan(4000);
        assertThat(prefillTokens(r, ref, false)).isGreaterThan(8000);
        mFleet.restart(home);
        assertThat(prefillTokens(r, mFleet.backend(home).ref(), true)).isEqualTo(9200);
    }

    private long prefillTokens(ActiveRequest r, BackendRef server, boolean isFirst) {
        return mFleet.mCalls
                .predict(r, mFleet.mCalls.demand(r), server, isFirst, mFleet.mNow)
                .prefillTokens();
    }
}
