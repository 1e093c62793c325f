package org.laurelweir.router.rpc;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import org.junit.jupiter.api.Test;
import org.laurelweir.runtime.process.ElapsedClock;

/** For how long a router may rely on its settings. */
class SettingsTrustTest {
    private static final Duration HOUR = Duration.ofHours(1);

    private final ElapsedClock mClock = new ElapsedClock();
    private final SettingsTrust mTrust = new SettingsTrust(mClock, HOUR, HOUR.dividedBy(2));

    @Test
    void nothingIsTrustedBeforeAConfirmation() {
        assertThat(mTrust.isGiven()).isFalse();
        assertThat(mTrust.mayDeny()).isFalse();
    }

    // Callers see: a request goes where a route sent it before it was changed. Order: everything is
    // killed after a change; control starts and tells what it knows to be committed, which lacks
    // the change; a router serves by that before anyone has confirmed it. Why: nothing asked for a
    // confirmation but keys and denials.
    @Test
    void settingsAreNotUsedBeforeAConfirmation() {
        assertThat(mTrust.isUsable()).isFalse();
        mTrust.confirmed(mTrust.asking(), HOUR.multipliedBy(2));
        assertThat(mTrust.isUsable()).isTrue();
    }

    @Test
    void theAgeOfTheConfirmationCounts() {
        // A control instance that was cut off answers promptly, with a confirmation that is old. A
        // key that was taken away meanwhile must not be let in for as long again.
        mTrust.confirmed(mTrust.asking(), HOUR.minusMinutes(20));
        assertThat(mTrust.isGiven()).isTrue();
        assertThat(mTrust.mayDeny()).isFalse();
        SettingsTrust late = new SettingsTrust(mClock, HOUR, HOUR);
        late.confirmed(late.asking(), HOUR);
        assertThat(late.isGiven()).isFalse();
    }

    @Test
    void aLateAnswerDoesNotTakeTrustBack() {
        ElapsedClock.Mark asked = mTrust.asking();
        mTrust.confirmed(asked, Duration.ZERO);
        mTrust.confirmed(asked, HOUR.multipliedBy(2));
        assertThat(mTrust.isGiven()).isTrue();
    }

    // A confirmation of a moment that has not come yet let keys in long after control was lost.
    @Test
    void aConfirmationOfAMomentToComeLengthensNothing() {
        ElapsedClock.Mark now = mTrust.asking();
        ElapsedClock.Mark asked =
                new ElapsedClock.Mark(now.steadyNanos() - 2 * HOUR.toNanos(), now.wallMillis());
        mTrust.confirmed(asked, HOUR.multipliedBy(-3));
        assertThat(mTrust.isGiven()).isFalse();
    }

    @Test
    void aSuspensionCounts() {
        // The steady clock stood still for two hours while the machine was suspended; the time of
        // day did not.
        ElapsedClock.Mark now = mTrust.asking();
        ElapsedClock.Mark asked =
                new ElapsedClock.Mark(now.steadyNanos(), now.wallMillis() - 2 * HOUR.toMillis());
        mTrust.confirmed(asked, Duration.ZERO);
        assertThat(mTrust.isGiven()).isFalse();
    }

    @Test
    void aClockThatIsSetBackDoesNotLengthenIt() {
        ElapsedClock.Mark now = mTrust.asking();
        ElapsedClock.Mark asked =
                new ElapsedClock.Mark(
                        now.steadyNanos() - 2 * HOUR.toNanos(), now.wallMillis() + HOUR.toMillis());
        mTrust.confirmed(asked, Duration.ZERO);
        assertThat(mTrust.isGiven()).isFalse();
    }

    @Test
    void withoutALeaseSettingsAreTrustedForEver() {
        SettingsTrust forEver = new SettingsTrust(mClock, Duration.ZERO, Duration.ZERO);
        assertThat(forEver.isGiven()).isTrue();
        assertThat(forEver.mayDeny()).isTrue();
    }
}
