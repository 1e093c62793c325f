package org.laurelweir.membership;

import java.time.Duration;

/**
 * Times and bounds of the membership as one control instance keeps it.
 *
 * @param control the instance's name
 * @param incarnation the instance's run
 * @param vanishAfter without an exchange for this time a sidecar counts as gone
 * @param departedRetention how long backend servers that left are remembered
 * @param peerSilence without an answer for this time a peer's load sums are left out
 * @param orphanAfter how long announcements of a peer that is gone stay in force
 * @param flapWindow how far back departures count
 * @param flapsAllowed departures within the window that are not held against a backend server
 * @param holdBase how long one departure too many holds a backend server back; doubles with each
 * @param holdMax the longest time that one is held back
 * @param heldShare the share of a service's backend servers that may be held back at a time
 */
public record MembershipConfig(
        String control,
        long incarnation,
        Duration vanishAfter,
        Duration departedRetention,
        Duration peerSilence,
        Duration orphanAfter,
        Duration flapWindow,
        int flapsAllowed,
        Duration holdBase,
        Duration holdMax,
        double heldShare) {
    /** How long backend servers that left are remembered where nothing else is set. */
    public static final Duration DEFAULT_DEPARTED_RETENTION = Duration.ofMinutes(10);

    /** Returns a builder with the defaults for one exchange a second. */
    public static Builder builder(String control, long incarnation) {
        return new Builder(control, incarnation);
    }

    /** Builds a {@link MembershipConfig}. */
    public static final class Builder {
        private final String mControl;
        private final long mIncarnation;
        private Duration mVanishAfter = Duration.ofSeconds(3);
        private Duration mKeepLeft = DEFAULT_DEPARTED_RETENTION;
        private Duration mPeerSilence = Duration.ofSeconds(5);
        private Duration mOrphanAfter = Duration.ofSeconds(60);
        private Duration mFlapWindow = Duration.ofMinutes(10);
        private int mFlapsAllowed = 3;
        private Duration mHoldBase = Duration.ofSeconds(10);
        private Duration mHoldMax = Duration.ofMinutes(5);
        private double mHeldShare = 0.2;

        private Builder(String control, long incarnation) {
            mControl = control;
            mIncarnation = incarnation;
        }

        /** Sets after which silence a sidecar counts as gone, and how long that is remembered. */
        public Builder departureTimes(Duration vanishAfter, Duration keepLeft) {
            mVanishAfter = vanishAfter;
            mKeepLeft = keepLeft;
            return this;
        }

        /** Sets when a peer's sums are left out, and when what it announced is given up. */
        public Builder peers(Duration silence, Duration orphanAfter) {
            mPeerSilence = silence;
            mOrphanAfter = orphanAfter;
            return this;
        }

        /** Sets which departures are held against a backend server. */
        public Builder flaps(Duration window, int allowed) {
            mFlapWindow = window;
            mFlapsAllowed = allowed;
            return this;
        }

        /** Sets how long and how many of a service are held back. */
        public Builder holds(Duration base, Duration max, double share) {
            mHoldBase = base;
            mHoldMax = max;
            mHeldShare = share;
            return this;
        }

        /** Returns the configuration. */
        public MembershipConfig build() {
            return new MembershipConfig(
                    mControl,
                    mIncarnation,
                    mVanishAfter,
                    mKeepLeft,
                    mPeerSilence,
                    mOrphanAfter,
                    mFlapWindow,
                    mFlapsAllowed,
                    mHoldBase,
                    mHoldMax,
                    mHeldShare);
        }
    }
}
