package org.laurelweir.direct;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.statistics.Statistics;
import org.laurelweir.direct.DirectEffect.AnswerComplete;
import org.laurelweir.direct.DirectEffect.AnswerEnd;
import org.laurelweir.direct.DirectEffect.AnswerError;
import org.laurelweir.direct.DirectEffect.BeginCall;
import org.laurelweir.lib.BackendRef;

/**
 * Tests the guarantees that hold for any order of events of backend servers and callers: a request
 * that is not repeatable runs at most once, "not run" is answered only if no server may have run
 * the request, every request gets one final answer, and there are no more attempts than allowed.
 */
class DirectRoutingPropertyTest {
    private static final int STEPS = 250;
    private static final int MAX_ATTEMPTS = 3;
    private static final RequestTerms CONTENDED = new RequestTerms(true, 1, 0, Map.of());

    private final Map<Long, Route> mRoutes = new HashMap<>();
    private final Set<Long> mGoneCallers = new HashSet<>();

    /** By caller, the calls whose server may have run the request. */
    private final Map<Long, Set<Long>> mPossibleRuns = new HashMap<>();

    private RequestTerms mTerms;

    @Property(tries = 400, seed = "81")
    void guaranteesHoldForAnyOrderOfEvents(@ForAll long seed) {
        run(seed, RequestTerms.NONE, 0);
    }

    // Guards against requests that wait and are then refused as not run although a server may have
    // run them, run twice, or get no answer.
    @Property(tries = 400, seed = "82")
    void guaranteesHoldForContendedRequests(@ForAll long seed) {
        DirectRoutingDriver driver = run(seed, CONTENDED, 0);
        boolean waited =
                driver.all(DirectEffect.LogDecision.class).stream()
                        .anyMatch(d -> d.decision().reason().startsWith("waiting"));
        Statistics.collect(waited);
        Statistics.coverage(c -> c.check(true).percentage(p -> p > 50));
    }

    // Guards against a second run or a wrong "not run" by copies of slow requests.
    @Property(tries = 400, seed = "82")
    void guaranteesHoldForHedgedRequests(@ForAll long seed) {
        run(seed, CONTENDED, 1);
    }

    private DirectRoutingDriver run(long seed, RequestTerms terms, double hedgeShare) {
        mTerms = terms;
        mRoutes.clear();
        mGoneCallers.clear();
        mPossibleRuns.clear();
        SplittableRandom random = new SplittableRandom(seed);
        DirectRoutingDriver driver =
                new DirectRoutingDriver(
                        1 + random.nextInt(5), DirectRoutingDriver.LIMITS, seed, hedgeShare);
        List<BeginCall> openCalls = new ArrayList<>();
        int seen = 0;
        for (int i = 0; i < STEPS; i++) {
            if (hedgeShare > 0) {
                driver.setMeanLoad(1);
            }
            step(driver, random, openCalls);
            for (DirectEffect e : driver.mEffects.subList(seen, driver.mEffects.size())) {
                if (e instanceof BeginCall b) {
                    openCalls.add(b);
                }
            }
            seen = driver.mEffects.size();
        }
        driver.advance(Duration.ofSeconds(2));
        checkGuarantees(driver);
        checkLoads(driver);
        return driver;
    }

    // Guards against loads that stay counted after their calls have ended.
    private static void checkLoads(DirectRoutingDriver driver) {
        for (int i = 0; i < 5; i++) {
            assertThat(driver.mLoads.ownRequests(new BackendRef("s" + i, 0))).isZero();
        }
    }

    private void step(
            DirectRoutingDriver driver, SplittableRandom random, List<BeginCall> openCalls) {
        int action = random.nextInt(10);
        if (action < 3 || openCalls.isEmpty()) {
            long caller = mRoutes.size() + 1;
            Route route = DirectRoutingDriver.route(random.nextBoolean(), action == 1, action == 1);
            mRoutes.put(caller, route);
            driver.arrive(caller, route, mTerms);
        } else if (action == 3) {
            driver.advance(Duration.ofMillis(random.nextInt(200)));
        } else if (action == 4) {
            long caller = 1 + random.nextInt(mRoutes.size());
            mGoneCallers.add(caller);
            driver.step(new DirectEvent.CallerGone(caller));
        } else {
            endCall(driver, openCalls.remove(random.nextInt(openCalls.size())), random);
        }
    }

    /** Ends a call in a random way. */
    private void endCall(DirectRoutingDriver driver, BeginCall b, SplittableRandom random) {
        long caller = Long.parseLong(b.request().id().substring("id".length()));
        switch (random.nextInt(6)) {
            case 0 ->
                    driver.step(
                            new DirectEvent.Failed(
                                    b.call(), DirectEvent.Failure.NOT_SENT, "can't connect"));
            case 1 -> driver.answer(b.call(), 503, DirectRoutingDriver.NOT_RUN);
            case 2 -> {
                recordPossibleRun(caller, b.call());
                driver.step(
                        new DirectEvent.Failed(
                                b.call(), DirectEvent.Failure.CONNECTION_LOST, "reset"));
            }
            case 3 -> {
                recordPossibleRun(caller, b.call());
                driver.answer(b.call(), 500, DirectRoutingDriver.GENUINE);
                driver.step(new DirectEvent.Finished(b.call()));
            }
            case 4 -> {
                recordPossibleRun(caller, b.call());
                driver.answer(b.call(), 200, DirectRoutingDriver.INVALID);
            }
            default -> {
                recordPossibleRun(caller, b.call());
                driver.answer(b.call(), 200, DirectRoutingDriver.GENUINE);
                byte[] event = "id: 1\n\n".getBytes(StandardCharsets.UTF_8);
                driver.step(new DirectEvent.DataReceived(b.call(), event));
                driver.step(new DirectEvent.Finished(b.call()));
            }
        }
    }

    private void recordPossibleRun(long caller, long call) {
        mPossibleRuns.computeIfAbsent(caller, c -> new HashSet<>()).add(call);
    }

    private void checkGuarantees(DirectRoutingDriver driver) {
        Map<Long, Integer> finalAnswers = new HashMap<>();
        for (DirectEffect e : driver.mEffects) {
            if (e instanceof AnswerComplete a) {
                finalAnswers.merge(a.caller(), 1, Integer::sum);
            } else if (e instanceof AnswerEnd a) {
                finalAnswers.merge(a.caller(), 1, Integer::sum);
            } else if (e instanceof AnswerError a) {
                finalAnswers.merge(a.caller(), 1, Integer::sum);
                boolean ran = mPossibleRuns.containsKey(a.caller());
                assertThat(a.code().isNotRun() && ran).as("%s after a run", a).isFalse();
            }
        }
        mRoutes.forEach(
                (caller, route) -> {
                    int runs = mPossibleRuns.getOrDefault(caller, Set.of()).size();
                    assertThat(runs).isLessThanOrEqualTo(route.isRepeatable() ? MAX_ATTEMPTS : 1);
                    int answers = finalAnswers.getOrDefault(caller, 0);
                    assertThat(answers).isLessThanOrEqualTo(1);
                    assertThat(answers == 1 || mGoneCallers.contains(caller)).isTrue();
                });
        assertThat(driver.isIdle()).isTrue();
    }
}
