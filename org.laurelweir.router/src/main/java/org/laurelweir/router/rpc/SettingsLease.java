package org.laurelweir.router.rpc;

import java.time.Duration;
import org.laurelweir.runtime.process.ElapsedClock;

/**
 * Tells how long the router may rely on its settings after control last confirmed them.
 *
 * <p>A router that is partitioned from control does not learn that a key was revoked. Each answer
 * of control tells the age of its confirmation, that is, up to which moment its settings are
 * complete. For the lease's duration after that moment the router serves requests with keys. After
 * that it refuses them until the next confirmation. So a revoked key is accepted for no longer than
 * the lease. The router measures the lease from before it sent the request.
 */
public final class SettingsLease {
    /**
     * How long a router that has just started waits for confirmed settings. After that it serves
     * with unconfirmed settings, unless leases are set: old settings are better than none.
     */
    static final Duration FRESH_SETTINGS_TIMEOUT = Duration.ofSeconds(10);

    private final ElapsedClock mClock;
    private final ElapsedClock.Mark mStarted;
    private final Duration mKeyLease;
    private final Duration mDenialLease;
    private ElapsedClock.Mark mRequestedAt;
    private Duration mConfirmationAge = Duration.ZERO;

    /**
     * Creates leases that are invalid until the first confirmation.
     *
     * @param clock measures elapsed time, including suspensions of the machine
     * @param keyLease how long keys are served after a confirmation; zero for no limit
     * @param denialLease how long after a confirmation a caller may be told that a route or key
     *     does not exist; zero for no limit
     */
    public SettingsLease(ElapsedClock clock, Duration keyLease, Duration denialLease) {
        mClock = clock;
        mStarted = clock.mark();
        mKeyLease = keyLease;
        mDenialLease = denialLease;
    }

    /** Returns the current time, to be taken before a request to control is sent. */
    ElapsedClock.Mark requestMark() {
        return mClock.mark();
    }

    /** Returns the time since a request to control was sent. */
    Duration elapsedSince(ElapsedClock.Mark requestedAt) {
        return mClock.since(requestedAt);
    }

    /**
     * Records a confirmation of the settings, if it is newer than the last one.
     *
     * @param requestedAt when the request to control was sent
     * @param age how old the confirmation was when control sent the answer; a negative age is
     *     ignored
     */
    synchronized void confirm(ElapsedClock.Mark requestedAt, Duration age) {
        if (age.isNegative()) {
            return;
        }
        Duration last =
                mRequestedAt == null ? null : mClock.since(mRequestedAt).plus(mConfirmationAge);
        Duration current = mClock.since(requestedAt).plus(age);
        if (last == null || current.compareTo(last) < 0) {
            mRequestedAt = requestedAt;
            mConfirmationAge = age;
        }
    }

    /**
     * Returns whether the settings may be used at all. After a restart, control sends its stored
     * settings before it can know whether they are the latest. A router that has just started must
     * not serve by them, because a route or key could have been removed since.
     */
    public synchronized boolean isUsable() {
        if (mRequestedAt != null) {
            return true;
        }
        boolean timedOut = mClock.since(mStarted).compareTo(FRESH_SETTINGS_TIMEOUT) >= 0;
        return timedOut && mKeyLease.isZero() && mDenialLease.isZero();
    }

    /** Returns whether requests with keys may be served now, that is, the key lease is valid. */
    public boolean mayServeKeys() {
        return isConfirmedWithin(mKeyLease);
    }

    /**
     * Returns whether a caller may be told that an unknown route or key does not exist, that is,
     * the denial lease is valid.
     */
    public boolean mayDeny() {
        return isConfirmedWithin(mDenialLease);
    }

    private synchronized boolean isConfirmedWithin(Duration lease) {
        if (lease.isZero()) {
            return true;
        }
        return mRequestedAt != null
                && mClock.since(mRequestedAt).plus(mConfirmationAge).compareTo(lease) < 0;
    }
}
