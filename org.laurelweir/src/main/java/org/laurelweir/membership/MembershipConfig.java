package org.laurelweir.membership;

import java.time.Duration;

/**
 * Timeouts and limits of one control instance's membership.
 *
 * @param control the instance's name
 * @param incarnation the number of the instance's current run
 * @param vanishAfter the time without an exchange after which a sidecar times out
 * @param departedRetention how long backend servers that left are kept
 * @param peerTimeout the time without an answer after which a peer's load sums are left out
 * @param orphanTimeout how long the announcements of a lost peer stay in force
 * @param flapWindow the time within which departures count as flaps
 * @param flapsAllowed the number of departures within the window that have no consequence
 * @param holdBase how long a backend server is held back after the first departure beyond the
 *     allowed number; doubles with each further one
 * @param holdMax the maximum time that a backend server is held back
 * @param maxHeldShare the maximum share of a service's backend servers held back at a time
 */
public record MembershipConfig(
        String control,
        long incarnation,
        Duration vanishAfter,
        Duration departedRetention,
        Duration peerTimeout,
        Duration orphanTimeout,
        Duration flapWindow,
        int flapsAllowed,
        Duration holdBase,
        Duration holdMax,
        double maxHeldShare) {
    /** The default for how long backend servers that left are kept. */
    public static final Duration DEFAULT_DEPARTED_RETENTION = Duration.ofMinutes(10);

    /** Returns a builder with defaults for one exchange per second. */
    public static Builder builder(String control, long incarnation) {
        return new Builder(control, incarnation);
    }

    /** Builds a {@link MembershipConfig}. */
    public static final class Builder {
        private final String mControl;
        private final long mIncarnation;
        private Duration mDepartureTimeout = Duration.ofSeconds(3);
        private Duration mDepartedRetention = DEFAULT_DEPARTED_RETENTION;
        private Duration mPeerTimeout = Duration.ofSeconds(5);
        private Duration mOrphanTimeout = Duration.ofSeconds(60);
        private Duration mFlapWindow = Duration.ofMinutes(10);
        private int mFlapsAllowed = 3;
        private Duration mHoldBase = Duration.ofSeconds(10);
        private Duration mHoldMax = Duration.ofMinutes(5);
        private double mMaxHeldShare = 0.2;

        private Builder(String control, long incarnation) {
            mControl = control;
            mIncarnation = incarnation;
        }

        /** Sets when a silent sidecar times out, and how long departed servers are kept. */
        public Builder departureTimes(Duration vanishAfter, Duration departedRetention) {
            mDepartureTimeout = vanishAfter;
            mDepartedRetention = departedRetention;
            return this;
        }

        /** Sets when a peer's load sums are left out, and when its announcements expire. */
        public Builder peers(Duration timeout, Duration orphanTimeout) {
            mPeerTimeout = timeout;
            mOrphanTimeout = orphanTimeout;
            return this;
        }

        /** Sets how many departures within which time make a backend server flap. */
        public Builder flaps(Duration window, int allowed) {
            mFlapWindow = window;
            mFlapsAllowed = allowed;
            return this;
        }

        /** Sets how long flapping backend servers are held back, and which share of a service. */
        public Builder holds(Duration base, Duration max, double share) {
            mHoldBase = base;
            mHoldMax = max;
            mMaxHeldShare = share;
            return this;
        }

        /** Returns the configuration. */
        public MembershipConfig build() {
            return new MembershipConfig(
                    mControl,
                    mIncarnation,
                    mDepartureTimeout,
                    mDepartedRetention,
                    mPeerTimeout,
                    mOrphanTimeout,
                    mFlapWindow,
                    mFlapsAllowed,
                    mHoldBase,
                    mHoldMax,
                    mMaxHeldShare);
        }
    }
}
