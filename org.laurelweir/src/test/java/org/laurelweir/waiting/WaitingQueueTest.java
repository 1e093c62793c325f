package org.laurelweir.waiting;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.laurelweir.contention.FleetView;
import org.laurelweir.lib.BackendRef;

/** Tests the order of waiting requests, the shares of accounts, and the limits of the queue. */
class WaitingQueueTest {
    private static final Instant NOW = Instant.parse("2026-12-04T10:00:00Z");
    private static final WaitLimits LIMITS = new WaitLimits(4, 100);

    private final Map<String, Double> mInFlight = new HashMap<>();
    private double mAge = 100;
    private final WaitingQueue<String> mQueue =
            new WaitingQueue<>(LIMITS, new AccountShares(new Fleet()));

    /** The demand of all routers, as set by a test. */
    private final class Fleet implements FleetView {
        @Override
        public double tokens(Instant now, String service, BackendRef ref) {
            return 0;
        }

        @Override
        public double failureRate(Instant now, BackendRef ref) {
            return 0;
        }

        @Override
        public double accountTokens(Instant now, String account) {
            return mInFlight.getOrDefault(account, 0.0);
        }

        @Override
        public double meanAccountTokens(Instant now) {
            return mInFlight.values().stream().mapToDouble(t -> t).average().orElse(0);
        }

        @Override
        public double ageMillis(Instant now) {
            return mAge;
        }
    }

    private static WaitingRequest<String> request(String name, String account, int priority) {
        return request(name, account, priority, Place.NONE, false, 10);
    }

    private static WaitingRequest<String> request(
            String name, String account, int priority, Place place, boolean resumes, long bytes) {
        return new WaitingRequest<>(
                name,
                "svc",
                priority,
                account,
                1,
                100,
                bytes,
                resumes,
                place,
                NOW,
                NOW.plusMillis(800),
                NOW.plusMillis(200));
    }

    /** Starts the requests in their order, up to a count, and returns their names. */
    private List<String> take(int count, Instant now) {
        List<String> names = new ArrayList<>();
        mQueue.admit(
                now,
                "svc",
                r -> true,
                r -> names.size() < count && names.add(r.item()),
                Integer.MAX_VALUE);
        return names;
    }

    @Test
    void higherPrioritiesGoFirstAndResumedStreamsFirstOfTheirPriority() {
        mQueue.add(request("low", "a", 1));
        mQueue.add(request("new", "b", 5));
        mQueue.add(request("resumed", "c", 5, Place.NONE, true, 10));
        assertThat(take(3, NOW)).containsExactly("resumed", "new", "low");
    }

    // Guards against an account with much in flight that is served as often as one with little.
    @Test
    void accountWithFewerTokensInFlightGoesFirst() {
        mInFlight.putAll(Map.of("much", 900.0, "little", 700.0));
        mQueue.add(request("m", "much", 5));
        mQueue.add(request("l", "little", 5));
        assertThat(take(2, NOW)).containsExactly("l", "m");
    }

    // Guards against an account that overtakes others by sending many requests at once.
    @Test
    void requestsOfOneAccountDoNotDelayTheFirstOfAnother() {
        mQueue.add(request("a1", "a", 5));
        mQueue.add(request("a2", "a", 5));
        mQueue.add(request("a3", "a", 5));
        mQueue.add(request("b1", "b", 5));
        assertThat(take(4, NOW)).containsExactly("a1", "b1", "a2", "a3");
    }

    @Test
    void requestsBeyondTheirTargetGoBehindTheOthers() {
        mQueue.add(request("late", "a", 5));
        Instant later = NOW.plusMillis(801);
        WaitingRequest<String> r = request("new", "b", 5);
        mQueue.add(
                new WaitingRequest<>(
                        r.item(),
                        r.service(),
                        r.priority(),
                        r.account(),
                        r.weight(),
                        r.tokens(),
                        r.bytes(),
                        r.resumes(),
                        r.place(),
                        later,
                        later.plusMillis(800),
                        later.plusMillis(200)));
        assertThat(take(2, later)).containsExactly("new", "late");
    }

    // Guards against requests of low priority that never get a turn.
    @Test
    void everyEighthTurnGoesToTheOldestRequest() {
        mQueue.add(request("low", "a", 1));
        List<String> taken = new ArrayList<>();
        for (int i = 0; i < WaitingQueue.OLDEST_INTERVAL; i++) {
            mQueue.add(request("urgent" + i, "b", 9));
            taken.addAll(take(1, NOW));
        }
        assertThat(taken).contains("low");
    }

    @Test
    void accountOverItsShareWaitsWhileOthersWaitAndOnlyThen() {
        mInFlight.putAll(Map.of("large", 900.0, "b", 10.0, "c", 10.0));
        mQueue.add(request("large", "large", 9));
        mQueue.add(request("b", "b", 1));
        List<String> tried = new ArrayList<>();
        mQueue.admit(NOW, "svc", r -> true, r -> !tried.add(r.item()), 8);
        assertThat(tried).containsExactly("b");
        assertThat(take(9, NOW)).containsExactly("b", "large");
    }

    // Guards against accounts that are held back by the numbers of this router alone.
    @Test
    void noSharesAreEnforcedWithoutTheFiguresOfAllRouters() {
        mInFlight.putAll(Map.of("large", 900.0, "b", 10.0, "c", 10.0));
        mAge = Double.NaN;
        mQueue.add(request("large", "large", 9));
        mQueue.add(request("b", "b", 1));
        assertThat(take(1, NOW)).containsExactly("large");
    }

    @Test
    void callerThatReturnsAsToldKeepsItsPlace() {
        mQueue.add(request("new", "a", 5));
        Place place = new Place(NOW.minusSeconds(1), 0);
        mQueue.add(request("returned", "b", 5, place, false, 10));
        assertThat(take(2, NOW)).containsExactly("returned", "new");
    }

    // Guards against a surge that takes the places of another account's requests.
    @Test
    void fullQueueEvictsTheNewestOfTheAccountWithTheMostQueuedTokens() {
        mQueue.add(request("a1", "a", 5));
        mQueue.add(request("a2", "a", 5));
        mQueue.add(request("b1", "b", 5));
        mQueue.add(request("a3", "a", 5));
        assertThat(mQueue.evictExcess()).isEmpty();
        mQueue.add(request("c1", "c", 5));
        assertThat(mQueue.evictExcess()).extracting(WaitingRequest::item).containsExactly("a3");
        assertThat(mQueue.evictedCount()).isEqualTo(1);
    }

    // Guards against a large body that evicts all others before itself.
    @Test
    void bodyThatExceedsTheLimitAloneEvictsNoOther() {
        mQueue.add(request("a", "a", 1));
        mQueue.add(request("large", "b", 9, Place.NONE, false, 101));
        assertThat(mQueue.evictExcess()).extracting(WaitingRequest::item).containsExactly("large");
        assertThat(mQueue.bytes()).isEqualTo(10);
    }

    // Guards against an account whose later requests go last because earlier ones were refused.
    @Test
    void requestsThatLeaveUnservedDoNotCountAgainstTheirAccount() {
        for (int i = 0; i < 20; i++) {
            mQueue.add(request("gone" + i, "a", 5));
            mQueue.remove("gone" + i);
        }
        mQueue.add(request("a", "a", 5));
        mQueue.add(request("b", "b", 5));
        assertThat(take(2, NOW)).containsExactly("a", "b");
    }

    @Test
    void maximumWaitIsTheShorterOfObjectiveAndTimeLeft() {
        Duration objective = Duration.ofMillis(800);
        assertThat(WaitLimits.maxWait(objective, Duration.ofSeconds(6))).hasMillis(200);
        assertThat(WaitLimits.maxWait(objective, Duration.ofSeconds(1))).hasMillis(100);
    }
}
