package org.laurelweir.direct;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Instant;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.laurelweir.lib.BackendRef;
import org.laurelweir.membership.SlowStartPermit;

/** Tests how many requests one router sends to a backend server in slow start. */
class SlowStartLimiterTest {
    private static final BackendRef SERVER = new BackendRef("w", 0);
    private static final double RATE = 2;

    private final SlowStartLimiter mLimiter = new SlowStartLimiter();

    private static Instant at(long millis) {
        return Instant.ofEpochMilli(millis);
    }

    private void permit(long millis) {
        mLimiter.onPermits(at(millis), List.of(new SlowStartPermit(SERVER, RATE)));
    }

    /** Sends a request if that is permitted; returns whether it was sent. */
    private boolean send(long millis) {
        boolean permitted = mLimiter.permits(at(millis), SERVER);
        if (permitted) {
            mLimiter.onRequestSent(at(millis), SERVER);
        }
        return permitted;
    }

    @Test
    void serverWithoutAPermitGetsNoRequests() {
        assertThat(send(0)).isFalse();
        mLimiter.onPermits(at(0), List.of());
        assertThat(send(1000)).isFalse();
    }

    // Guards against two full shares when control gives the permit of one router to another.
    @Test
    void newPermitStartsWithoutAllowance() {
        permit(0);
        assertThat(send(499)).isFalse();
        assertThat(send(500)).isTrue();
    }

    // Guards against a rush of saved-up requests after a pause.
    @Test
    void pauseSavesUpNoMoreThanOneRequest() {
        for (int millis = 0; millis <= 5000; millis += 300) {
            permit(millis);
        }
        assertThat(send(5000)).isTrue();
        assertThat(send(5000)).isFalse();
        assertThat(send(5500)).isTrue();
    }

    // Guards against requests of a router that control no longer hears: another one has its permit.
    @Test
    void permitExpiresUnlessItIsConfirmed() {
        permit(0);
        long expiry = SlowStartLimiter.PERMIT_LIFETIME.toMillis();
        assertThat(mLimiter.permits(at(expiry - 1), SERVER)).isTrue();
        assertThat(mLimiter.permits(at(expiry), SERVER)).isFalse();
    }

    @Test
    void confirmationKeepsTheAllowance() {
        permit(0);
        assertThat(send(500)).isTrue();
        permit(600);
        assertThat(send(700)).isFalse();
        assertThat(send(1000)).isTrue();
    }
}
