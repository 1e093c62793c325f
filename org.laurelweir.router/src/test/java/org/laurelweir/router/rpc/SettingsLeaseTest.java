package org.laurelweir.router.rpc;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import org.junit.jupiter.api.Test;
import org.laurelweir.runtime.process.ElapsedClock;

/** Tests how long a router may rely on its settings. */
class SettingsLeaseTest {
    private static final Duration HOUR = Duration.ofHours(1);

    private final ElapsedClock mClock = new ElapsedClock();
    private final SettingsLease mLease = new SettingsLease(mClock, HOUR, HOUR.dividedBy(2));

    @Test
    void leasesAreInvalidBeforeAConfirmation() {
        assertThat(mLease.mayServeKeys()).isFalse();
        assertThat(mLease.mayDeny()).isFalse();
    }

    // Guards against routing by an outdated route. All processes are killed after a change of the
    // settings. Control restarts and sends the settings that it knows to be committed, which lack
    // the change. A router must not use them before a confirmation, not even for requests without
    // keys.
    @Test
    void settingsAreNotUsedBeforeAConfirmation() {
        assertThat(mLease.isUsable()).isFalse();
        mLease.confirm(mLease.requestMark(), HOUR.multipliedBy(2));
        assertThat(mLease.isUsable()).isTrue();
    }

    @Test
    void ageOfTheConfirmationShortensTheLease() {
        // A partitioned control instance answers at once, but with an old confirmation. A key that
        // was revoked meanwhile must not be accepted for another full lease.
        mLease.confirm(mLease.requestMark(), HOUR.minusMinutes(20));
        assertThat(mLease.mayServeKeys()).isTrue();
        assertThat(mLease.mayDeny()).isFalse();
        SettingsLease expired = new SettingsLease(mClock, HOUR, HOUR);
        expired.confirm(expired.requestMark(), HOUR);
        assertThat(expired.mayServeKeys()).isFalse();
    }

    @Test
    void olderConfirmationDoesNotShortenTheLease() {
        ElapsedClock.Mark requestedAt = mLease.requestMark();
        mLease.confirm(requestedAt, Duration.ZERO);
        mLease.confirm(requestedAt, HOUR.multipliedBy(2));
        assertThat(mLease.mayServeKeys()).isTrue();
    }

    // Guards against a confirmation with a negative age, that is, of a time in the future. It would
    // extend the lease long after the last contact with control.
    @Test
    void negativeAgeDoesNotExtendTheLease() {
        ElapsedClock.Mark now = mLease.requestMark();
        ElapsedClock.Mark requestedAt =
                new ElapsedClock.Mark(now.steadyNanos() - 2 * HOUR.toNanos(), now.wallMillis());
        mLease.confirm(requestedAt, HOUR.multipliedBy(-3));
        assertThat(mLease.mayServeKeys()).isFalse();
    }

    @Test
    void suspensionOfTheMachineCounts() {
        // The machine was suspended for two hours. The steady clock stood still meanwhile, but the
        // wall clock did not.
        ElapsedClock.Mark now = mLease.requestMark();
        ElapsedClock.Mark requestedAt =
                new ElapsedClock.Mark(now.steadyNanos(), now.wallMillis() - 2 * HOUR.toMillis());
        mLease.confirm(requestedAt, Duration.ZERO);
        assertThat(mLease.mayServeKeys()).isFalse();
    }

    @Test
    void settingTheWallClockDoesNotExtendTheLease() {
        ElapsedClock.Mark now = mLease.requestMark();
        ElapsedClock.Mark requestedAt =
                new ElapsedClock.Mark(
                        now.steadyNanos() - 2 * HOUR.toNanos(), now.wallMillis() + HOUR.toMillis());
        mLease.confirm(requestedAt, Duration.ZERO);
        assertThat(mLease.mayServeKeys()).isFalse();
    }

    @Test
    void zeroLeaseNeverExpires() {
        SettingsLease unlimited = new SettingsLease(mClock, Duration.ZERO, Duration.ZERO);
        assertThat(unlimited.mayServeKeys()).isTrue();
        assertThat(unlimited.mayDeny()).isTrue();
    }
}
