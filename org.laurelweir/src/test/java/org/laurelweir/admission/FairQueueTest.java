package org.laurelweir.admission;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;
import org.laurelweir.attempt.AttemptRequest;

/** The order of the queue, and the attempts evicted from a full queue. */
class FairQueueTest {
    private static final Instant NOW = Instant.parse("2026-12-02T10:00:00Z");

    private final FairQueue mQueue = new FairQueue();
    private long mCount;

    // A large account sends 100 requests before a small account sends its first one. The small
    // account's request goes next and does not wait for all 100.
    @Test
    void surgeOfOneAccountDoesNotDelayAnother() {
        for (int i = 0; i < 100; i++) {
            mQueue.add(NOW, attempt("large", 1, 0, 100));
        }
        mQueue.take();
        Attempt small = attempt("small", 1, 0, 100);
        mQueue.add(NOW, small);

        assertThat(mQueue.take()).isSameAs(small);
    }

    @Property(tries = 200, seed = "42003")
    void backloggedAccountsAreServedByWeight(
            @ForAll @IntRange(min = 1, max = 4) int weight,
            @ForAll @IntRange(min = 50, max = 400) int small,
            @ForAll @IntRange(min = 50, max = 400) int large) {
        FairQueue queue = new FairQueue();
        for (int i = 0; i < 120; i++) {
            queue.add(NOW, attempt("a", weight, 0, small));
            queue.add(NOW, attempt("b", 1, 0, large));
        }
        Map<String, Double> served = new HashMap<>();
        for (int i = 0; i < 100; i++) {
            Attempt a = queue.take();
            served.merge(a.request().account(), a.work(), Double::sum);
        }
        double a = served.getOrDefault("a", 0.0) / weight;
        double b = served.getOrDefault("b", 0.0);
        // Start-time fair queueing keeps the work of two accounts within one request of each.
        assertThat(Math.abs(a - b)).isLessThanOrEqualTo((double) small / weight + large);
    }

    @Test
    void higherPriorityGoesFirst() {
        mQueue.add(NOW, attempt("a", 1, 0, 1));
        Attempt urgent = attempt("a", 1, 1, 1000);
        mQueue.add(NOW, urgent);
        assertThat(mQueue.take()).isSameAs(urgent);
    }

    // Urgent requests arrive as fast as the queue is emptied. A request of low priority still gets
    // a turn; otherwise its caller would always be refused.
    @Test
    void lowPriorityIsServedDuringASteadyUrgentFlow() {
        Attempt lowPriority = attempt("a", 1, 0, 1);
        mQueue.add(NOW, lowPriority);
        List<Attempt> taken = new ArrayList<>();
        for (int i = 0; i < 8; i++) {
            mQueue.add(NOW, attempt("b", 1, 9, 1));
            taken.add(mQueue.take());
        }
        assertThat(taken).contains(lowPriority);
    }

    // A request of a small account arrives at a queue that is full of a large account's requests.
    // The newest request of the large account is evicted, not the new arrival.
    @Test
    void fullQueueEvictsTheNewestOfTheAccountWithTheMostWork() {
        SidecarSettings.QueueLimits limits =
                new SidecarSettings.QueueLimits(3, 1 << 20, Duration.ofSeconds(2));
        mQueue.add(NOW, attempt("large", 1, 0, 10));
        mQueue.add(NOW, attempt("large", 1, 0, 10));
        Attempt newest = attempt("large", 1, 0, 10);
        mQueue.add(NOW, newest);
        assertThat(mQueue.findExcess(limits)).isNull();

        mQueue.add(NOW, attempt("small", 1, 0, 10));
        assertThat(mQueue.findExcess(limits)).isSameAs(newest);
    }

    private Attempt attempt(String account, double weight, int priority, int work) {
        AttemptRequest request =
                Requests.request(++mCount).account(account, weight).priority(priority).build();
        Attempt attempt = new Attempt(request, NOW, new OutputTotal());
        attempt.setWork(work);
        return attempt;
    }
}
