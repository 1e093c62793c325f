package org.laurelweir.admission;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Instant;
import org.junit.jupiter.api.Test;

/** Each schedule of an attempt takes effect once, in the order of the times. */
class DueQueueTest {
    private static final Instant START = Instant.EPOCH;

    private final DueQueue mQueue = new DueQueue();
    private final Attempt mAttempt1 = attempt(1);
    private final Attempt mAttempt2 = attempt(2);
    private final Attempt mAttempt3 = attempt(3);

    private static Attempt attempt(long request) {
        return new Attempt(Requests.request(request).build(), START, new OutputTotal());
    }

    private static Instant seconds(long second) {
        return START.plusSeconds(second);
    }

    @Test
    void dueAttemptsAreTakenOnceInOrderOfTime() {
        mQueue.schedule(mAttempt1, seconds(2));
        mQueue.schedule(mAttempt2, seconds(1));
        mQueue.schedule(mAttempt3, seconds(3));
        assertThat(mQueue.takeDue(seconds(2))).containsExactly(mAttempt2, mAttempt1);
        assertThat(mQueue.takeDue(seconds(2))).isEmpty();
        assertThat(mQueue.takeDue(seconds(3))).containsExactly(mAttempt3);
    }

    @Test
    void schedulingAgainReplacesTheTime() {
        mQueue.schedule(mAttempt1, seconds(1));
        mQueue.schedule(mAttempt1, seconds(5));
        mQueue.schedule(mAttempt2, seconds(5));
        mQueue.schedule(mAttempt2, seconds(1));
        assertThat(mQueue.takeDue(seconds(4))).containsExactly(mAttempt2);
        mQueue.remove(mAttempt1);
        assertThat(mQueue.takeDue(seconds(9))).isEmpty();
    }
}
