package org.laurelweir.runtime.http;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.Test;

/** Tests the bound of the bodies that a router holds. */
class RequestMemoryTest {
    private static final int LARGE = 1 << 20;
    private static final long SECOND = Duration.ofSeconds(1).toNanos();

    private final AtomicLong mNanos = new AtomicLong();
    private final RequestMemory mMemory = new RequestMemory(8L * LARGE, mNanos::get);
    private final List<String> mReserved = new ArrayList<>();

    private void fill() {
        for (int i = 0; i < 7; i++) {
            assertThat(mMemory.tryReserve(LARGE)).isTrue();
        }
    }

    /** Guards against bodies within the limit of each that fill the heap together. */
    @Test
    void largeBodiesTogetherStayWithinTheBound() {
        fill();
        assertThat(mMemory.tryReserve(LARGE)).isFalse();
        assertThat(mMemory.bytes()).isEqualTo(7L * LARGE);
    }

    /** Guards against small requests that are refused since large ones hold all the memory. */
    @Test
    void smallBodiesHaveAPartOfTheirOwn() {
        fill();
        for (int i = 0; i < 16; i++) {
            assertThat(mMemory.tryReserve(RequestMemory.SMALL_BYTES)).isTrue();
        }
        assertThat(mMemory.tryReserve(RequestMemory.SMALL_BYTES)).isFalse();
    }

    /** Guards against a large request that later ones overtake until its caller gives up. */
    @Test
    void waitingRequestsAreServedInTheirOrder() {
        fill();
        mMemory.await(3L * LARGE, () -> mReserved.add("first"));
        mMemory.await(LARGE, () -> mReserved.add("second"));
        mMemory.release(LARGE, SECOND);
        assertThat(mReserved).isEmpty();
        assertThat(mMemory.tryReserve(2L * RequestMemory.SMALL_BYTES)).isFalse();
        mMemory.release(3L * LARGE, SECOND);
        assertThat(mReserved).containsExactly("first", "second");
        assertThat(mMemory.bytes()).isEqualTo(7L * LARGE);
    }

    /** Guards against requests that wait behind one whose caller has gone. */
    @Test
    void canceledWaitLetsTheNextOneThrough() {
        fill();
        RequestMemory.Waiter first = mMemory.await(3L * LARGE, () -> mReserved.add("first"));
        mMemory.await(LARGE, () -> mReserved.add("second"));
        mMemory.release(LARGE, SECOND);
        assertThat(mMemory.cancel(first)).isTrue();
        assertThat(mReserved).containsExactly("second");
        assertThat(mMemory.cancel(first)).isFalse();
    }

    /** Guards against memory that is free while a request waits for it. */
    @Test
    void memoryThatWasReleasedJustBeforeTheWaitIsTaken() {
        mMemory.await(LARGE, () -> mReserved.add("first"));
        assertThat(mReserved).containsExactly("first");
    }

    /** Guards against memory that is lost when its request ends in the moment of its turn. */
    @Test
    void reservationThatEndsBeforeItHearsOfItsMemoryGivesItBack() {
        fill();
        RequestReservation reservation = new RequestReservation(mMemory, () -> {});
        assertThat(reservation.await(LARGE, () -> mReserved.add("first"))).isTrue();
        mMemory.release(LARGE, SECOND);
        assertThat(mReserved).containsExactly("first");
        reservation.release();
        assertThat(reservation.onReserved()).isFalse();
        assertThat(mMemory.bytes()).isEqualTo(6L * LARGE);
    }

    /** Guards against a Retry-After at which the caller finds the memory full again. */
    @Test
    void retryAfterFollowsTheTimeForWhichBodiesAreHeld() {
        fill();
        for (int i = 0; i < 50; i++) {
            mMemory.release(LARGE, 2 * SECOND);
            assertThat(mMemory.tryReserve(LARGE)).isTrue();
        }
        assertThat(mMemory.refuse(LARGE)).isBetween(Duration.ofSeconds(2), Duration.ofMillis(2500));
        assertThat(mMemory.refusedCount()).isEqualTo(1);
    }

    private RequestReservation reserve(String name, long bytes) {
        RequestReservation r = new RequestReservation(mMemory, () -> mReserved.add(name));
        assertThat(r.tryGrow(bytes)).isTrue();
        return r;
    }

    /** Guards against clients that announce requests, do not send them, and keep others out. */
    @Test
    void slowestRequestGivesUpWhenMemoryIsShort() {
        reserve("slowest", 3L * LARGE);
        mNanos.addAndGet(SECOND / 2);
        reserve("second", 4L * LARGE);
        RequestReservation other = new RequestReservation(mMemory, () -> mReserved.add("other"));
        assertThat(other.tryGrow(LARGE)).isFalse();
        assertThat(mReserved).isEmpty();
        mNanos.addAndGet(SECOND / 2);
        assertThat(other.tryGrow(LARGE)).isFalse();
        assertThat(other.tryGrow(LARGE)).isFalse();
        assertThat(mReserved).containsExactly("slowest");
    }

    /** Guards against giving up a request that servers work on already. */
    @Test
    void wholeRequestDoesNotGiveUp() {
        reserve("whole", 7L * LARGE).onWhole();
        mNanos.addAndGet(SECOND);
        assertThat(reserve("small", 1).tryGrow(LARGE)).isFalse();
        assertThat(mReserved).isEmpty();
    }
}
