package org.laurelweir.router.rpc;

import java.time.Duration;
import org.laurelweir.runtime.process.ElapsedClock;

/**
 * Knows for how long this router may still serve requests with keys.
 *
 * <p>A router that is cut off from control does not learn that a key was taken away. Each answer of
 * control says up to which moment its settings hold everything; for a fixed time after that moment,
 * measured here from before the question was asked, keys are served, and then no more until control
 * is heard again. Whoever takes a key away need wait only as long.
 */
public final class SettingsTrust {
    /**
     * How long a router that has just started waits for a control instance that vouches for its
     * settings. After that it serves with what it has, unless leases are set: old settings beat
     * none.
     */
    static final Duration FRESH_WAIT = Duration.ofSeconds(10);

    private final ElapsedClock mClock;
    private final ElapsedClock.Mark mStarted;
    private final Duration mKeyLease;
    private final Duration mDenialLease;
    private ElapsedClock.Mark mAsked;
    private Duration mAge = Duration.ZERO;

    /**
     * Creates a trust that begins with the first answer.
     *
     * @param clock measures, suspensions of the machine included
     * @param keyLease how long keys are served after a confirmation; zero for ever
     * @param denialLease how long a caller may be told that something does not exist; zero for ever
     */
    public SettingsTrust(ElapsedClock clock, Duration keyLease, Duration denialLease) {
        mClock = clock;
        mStarted = clock.mark();
        mKeyLease = keyLease;
        mDenialLease = denialLease;
    }

    /** Returns the moment at which a question is asked. */
    ElapsedClock.Mark asking() {
        return mClock.mark();
    }

    /** Returns how long ago a question was asked. */
    Duration since(ElapsedClock.Mark asked) {
        return mClock.since(asked);
    }

    /**
     * Notes that settings were confirmed.
     *
     * @param asked when the question was asked
     * @param age how old the confirmation was as the answer was made; a negative one confirms
     *     nothing
     */
    synchronized void confirmed(ElapsedClock.Mark asked, Duration age) {
        if (age.isNegative()) {
            return;
        }
        Duration left = mAsked == null ? null : mClock.since(mAsked).plus(mAge);
        Duration fresh = mClock.since(asked).plus(age);
        if (left == null || fresh.compareTo(left) < 0) {
            mAsked = asked;
            mAge = age;
        }
    }

    /**
     * Returns whether the settings may be used at all. Control tells those of its last run before
     * it can know of newer ones; a router that has just started must not serve by them, as a route
     * or key could have been taken away long ago.
     */
    public synchronized boolean isUsable() {
        if (mAsked != null) {
            return true;
        }
        boolean waited = mClock.since(mStarted).compareTo(FRESH_WAIT) >= 0;
        return waited && mKeyLease.isZero() && mDenialLease.isZero();
    }

    /** Returns whether requests with keys may be served now. */
    public boolean isGiven() {
        return isConfirmedWithin(mKeyLease);
    }

    /**
     * Returns whether it is certain enough that a route or key which is not known does not exist.
     */
    public boolean mayDeny() {
        return isConfirmedWithin(mDenialLease);
    }

    private synchronized boolean isConfirmedWithin(Duration lease) {
        if (lease.isZero()) {
            return true;
        }
        return mAsked != null && mClock.since(mAsked).plus(mAge).compareTo(lease) < 0;
    }
}
