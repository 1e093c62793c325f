package org.laurelweir.consensus;

import java.time.Duration;

/**
 * Times and bounds of the replicated log.
 *
 * @param electionTimeout a follower that hears no leader for this time, up to twice, campaigns; a
 *     leader that hears no quorum for this time steps down
 * @param heartbeatInterval how often a leader shows that it is alive
 * @param maxBatchBytes about the size of one append message, if more than one entry is in it
 * @param maxInFlightAppends unanswered append messages to one follower
 * @param logLimits what the log takes in bytes
 * @param snapshotIntervalEntries entries applied between two snapshots, where the bytes ask for
 *     none before
 * @param snapshotTailEntries entries kept in memory before a snapshot, for followers slightly
 *     behind
 * @param snapshotChunkBytes the size of one piece of a snapshot
 * @param maxLearnerLagEntries entries by which a learner may lag and still become a voter
 */
public record ConsensusConfig(
        Duration electionTimeout,
        Duration heartbeatInterval,
        int maxBatchBytes,
        int maxInFlightAppends,
        LogLimits logLimits,
        int snapshotIntervalEntries,
        int snapshotTailEntries,
        int snapshotChunkBytes,
        int maxLearnerLagEntries) {

    /** Returns a builder with the defaults for regions some tens of milliseconds apart. */
    public static Builder builder() {
        return new Builder();
    }

    /** Builds an {@link ConsensusConfig}. */
    public static final class Builder {
        private Duration mElectionTimeout = Duration.ofMillis(1000);
        private Duration mHeartbeatInterval = Duration.ofMillis(150);
        private int mMaxBatchBytes = 256 << 10;
        private int mMaxInFlightAppends = 8;
        private LogLimits mLogLimits = LogLimits.ofHeap(Runtime.getRuntime().maxMemory());
        private int mSnapshotIntervalEntries = 20_000;
        private int mSnapshotTailEntries = 5_000;
        private int mSnapshotChunkBytes = 256 << 10;
        private int mMaxLearnerLagEntries = 100;

        /** Sets the time without contact after which a leader is given up. */
        public Builder electionTimeout(Duration timeout) {
            mElectionTimeout = timeout;
            return this;
        }

        /** Sets how often a leader shows that it is alive. */
        public Builder heartbeatInterval(Duration interval) {
            mHeartbeatInterval = interval;
            return this;
        }

        /** Sets the size of append messages and how many to one follower may be unanswered. */
        public Builder appendFlow(int maxBatchBytes, int maxInFlight) {
            mMaxBatchBytes = maxBatchBytes;
            mMaxInFlightAppends = maxInFlight;
            return this;
        }

        /** Sets what the log takes in bytes, in place of the shares of this program's heap. */
        public Builder logLimits(LogLimits bounds) {
            mLogLimits = bounds;
            return this;
        }

        /**
         * Sets how many entries lie between snapshots, how many stay before one, and its pieces.
         */
        public Builder snapshots(int every, int tail, int chunkBytes) {
            mSnapshotIntervalEntries = every;
            mSnapshotTailEntries = tail;
            mSnapshotChunkBytes = chunkBytes;
            return this;
        }

        /** Sets by how many entries a learner may lag and still become a voter. */
        public Builder maxLearnerLagEntries(int entries) {
            mMaxLearnerLagEntries = entries;
            return this;
        }

        /** Returns the configuration. */
        public ConsensusConfig build() {
            return new ConsensusConfig(
                    mElectionTimeout,
                    mHeartbeatInterval,
                    mMaxBatchBytes,
                    mMaxInFlightAppends,
                    mLogLimits,
                    mSnapshotIntervalEntries,
                    mSnapshotTailEntries,
                    mSnapshotChunkBytes,
                    mMaxLearnerLagEntries);
        }
    }
}
