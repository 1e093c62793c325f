package org.laurelweir.admission;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Instant;
import org.junit.jupiter.api.Test;

/** Attempts come up when something is due about them, in that order, and once for each setting. */
class DueOrderTest {
    private static final Instant START = Instant.EPOCH;

    private final DueOrder mOrder = new DueOrder();
    private final Attempt mFirst = attempt(1);
    private final Attempt mSecond = attempt(2);
    private final Attempt mThird = attempt(3);

    private static Attempt attempt(long request) {
        return new Attempt(Requests.request(request).build(), START, new OutputTotal());
    }

    private static Instant at(long second) {
        return START.plusSeconds(second);
    }

    @Test
    void dueOnesComeInOrderAndOnce() {
        mOrder.set(mFirst, at(2));
        mOrder.set(mSecond, at(1));
        mOrder.set(mThird, at(3));
        assertThat(mOrder.take(at(2))).containsExactly(mSecond, mFirst);
        assertThat(mOrder.take(at(2))).isEmpty();
        assertThat(mOrder.take(at(3))).containsExactly(mThird);
    }

    @Test
    void laterSettingReplacesTheEarlierOne() {
        mOrder.set(mFirst, at(1));
        mOrder.set(mFirst, at(5));
        mOrder.set(mSecond, at(5));
        mOrder.set(mSecond, at(1));
        assertThat(mOrder.take(at(4))).containsExactly(mSecond);
        mOrder.remove(mFirst);
        assertThat(mOrder.take(at(9))).isEmpty();
    }
}
