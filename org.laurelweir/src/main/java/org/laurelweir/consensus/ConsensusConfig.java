package org.laurelweir.consensus;

import java.time.Duration;

/**
 * Timeouts and limits of the replicated log.
 *
 * @param electionTimeout a follower without contact to a leader starts a campaign after a random
 *     time between this value and twice this value; a leader without contact to a quorum for this
 *     time steps down
 * @param heartbeatInterval interval between two heartbeats of a leader
 * @param maxBatchBytes approximate size limit of an append message; a single larger entry is sent
 *     alone
 * @param maxInFlightAppends maximum number of unanswered append messages to one follower
 * @param logLimits limits of the log in bytes
 * @param snapshotIntervalEntries number of applied entries after which the next snapshot is due,
 *     unless the limits in bytes require one earlier
 * @param snapshotTailEntries maximum number of entries kept in memory that the snapshot already
 *     covers, for followers that lag slightly
 * @param snapshotChunkBytes size of one chunk of a snapshot
 * @param maxLearnerLagEntries number of entries by which a learner may lag and still be promoted to
 *     voter
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

    /**
     * Returns a builder whose defaults suit regions with a latency of some tens of milliseconds
     * between them.
     */
    public static Builder builder() {
        return new Builder();
    }

    /** Builds a {@link ConsensusConfig}. */
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

        /**
         * Sets the time without contact after which a follower campaigns and a leader steps down.
         */
        public Builder electionTimeout(Duration timeout) {
            mElectionTimeout = timeout;
            return this;
        }

        /** Sets the interval between two heartbeats of a leader. */
        public Builder heartbeatInterval(Duration interval) {
            mHeartbeatInterval = interval;
            return this;
        }

        /**
         * Sets the size limit of append messages in bytes and the maximum number of unanswered ones
         * to one follower.
         */
        public Builder appendFlow(int maxBatchBytes, int maxInFlightAppends) {
            mMaxBatchBytes = maxBatchBytes;
            mMaxInFlightAppends = maxInFlightAppends;
            return this;
        }

        /**
         * Sets the limits of the log in bytes. The default derives them from the heap of this
         * process.
         */
        public Builder logLimits(LogLimits limits) {
            mLogLimits = limits;
            return this;
        }

        /**
         * Sets when snapshots are taken and how they are sent.
         *
         * @param intervalEntries number of applied entries between two snapshots
         * @param tailEntries maximum number of entries kept that the snapshot already covers
         * @param chunkBytes size of one chunk of a snapshot
         */
        public Builder snapshotPolicy(int intervalEntries, int tailEntries, int chunkBytes) {
            mSnapshotIntervalEntries = intervalEntries;
            mSnapshotTailEntries = tailEntries;
            mSnapshotChunkBytes = chunkBytes;
            return this;
        }

        /** Sets the number of entries by which a learner may lag and still be promoted to voter. */
        public Builder maxLearnerLagEntries(int entries) {
            mMaxLearnerLagEntries = entries;
            return this;
        }

        /** Returns the configuration with the values set so far. */
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
