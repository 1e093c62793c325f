package org.laurelweir.consensus;

import java.time.Duration;

/**
 * Times and bounds of the replicated log.
 *
 * @param electionTimeout a follower that hears no leader for this time, up to twice, campaigns; a
 *     leader that hears no quorum for this time steps down
 * @param heartbeatInterval how often a leader shows that it is alive
 * @param maxBatchBytes about the size of one append message, if more than one entry is in it
 * @param maxInFlight unanswered append messages to one follower
 * @param bounds what the log takes in bytes
 * @param snapshotEvery entries applied between two snapshots, where the bytes ask for none before
 * @param snapshotTail entries kept in memory before a snapshot, for followers slightly behind
 * @param snapshotChunkBytes the size of one piece of a snapshot
 * @param catchUpLag entries by which a learner may lag and still become a voter
 */
public record ConsensusConfig(
        Duration electionTimeout,
        Duration heartbeatInterval,
        int maxBatchBytes,
        int maxInFlight,
        LogBounds bounds,
        int snapshotEvery,
        int snapshotTail,
        int snapshotChunkBytes,
        int catchUpLag) {

    /** Returns a builder with the defaults for regions some tens of milliseconds apart. */
    public static Builder builder() {
        return new Builder();
    }

    /** Builds an {@link ConsensusConfig}. */
    public static final class Builder {
        private Duration mElectionTimeout = Duration.ofMillis(1000);
        private Duration mHeartbeat = Duration.ofMillis(150);
        private int mMaxBatchBytes = 256 << 10;
        private int mMaxInFlight = 8;
        private LogBounds mBounds = LogBounds.ofHeap(Runtime.getRuntime().maxMemory());
        private int mSnapshotEvery = 20_000;
        private int mSnapshotTail = 5_000;
        private int mSnapshotChunkBytes = 256 << 10;
        private int mCatchUpLag = 100;

        /** Sets the time without contact after which a leader is given up. */
        public Builder electionTimeout(Duration timeout) {
            mElectionTimeout = timeout;
            return this;
        }

        /** Sets how often a leader shows that it is alive. */
        public Builder heartbeatInterval(Duration interval) {
            mHeartbeat = interval;
            return this;
        }

        /** Sets the size of append messages and how many to one follower may be unanswered. */
        public Builder flow(int maxBatchBytes, int maxInFlight) {
            mMaxBatchBytes = maxBatchBytes;
            mMaxInFlight = maxInFlight;
            return this;
        }

        /** Sets what the log takes in bytes, in place of the shares of this program's heap. */
        public Builder bounds(LogBounds bounds) {
            mBounds = bounds;
            return this;
        }

        /**
         * Sets how many entries lie between snapshots, how many stay before one, and its pieces.
         */
        public Builder snapshots(int every, int tail, int chunkBytes) {
            mSnapshotEvery = every;
            mSnapshotTail = tail;
            mSnapshotChunkBytes = chunkBytes;
            return this;
        }

        /** Sets by how many entries a learner may lag and still become a voter. */
        public Builder catchUpLag(int entries) {
            mCatchUpLag = entries;
            return this;
        }

        /** Returns the configuration. */
        public ConsensusConfig build() {
            return new ConsensusConfig(
                    mElectionTimeout,
                    mHeartbeat,
                    mMaxBatchBytes,
                    mMaxInFlight,
                    mBounds,
                    mSnapshotEvery,
                    mSnapshotTail,
                    mSnapshotChunkBytes,
                    mCatchUpLag);
        }
    }
}
