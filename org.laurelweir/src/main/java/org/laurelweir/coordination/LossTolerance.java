package org.laurelweir.coordination;

import java.time.Duration;
import java.util.List;
import java.util.OptionalInt;
import org.laurelweir.consensus.ReplicaId;

/**
 * How many voters the log can lose, whichever they are, so that the remaining ones are a quorum.
 *
 * @param now the number as of now; 0 also if there is no quorum
 * @param possible the number if all voters were well
 * @param promised the number that the settings promise; empty if they promise nothing
 * @param missing the voters that don't count now, sorted by replica id
 */
public record LossTolerance(
        int now, int possible, OptionalInt promised, List<MissingVoter> missing) {

    /** Why a voter doesn't count. */
    public enum Cause {
        /** It has not replied to the leader within the election timeout. */
        SILENT,

        /** It replies, but its log is far behind the leader's. */
        BEHIND,

        /** Its instance runs on another disk, so that it never returns. */
        DISK_LOST
    }

    /**
     * A voter that doesn't count now.
     *
     * @param voter the voter's replica id
     * @param cause why it doesn't count
     * @param silence time since its last reply, or since the leader's election if that is later
     */
    public record MissingVoter(ReplicaId voter, Cause cause, Duration silence) {}

    /** Returns whether fewer losses can be borne than promised, or than if all voters were well. */
    public boolean isReduced() {
        return now < possible || now < promised.orElse(0);
    }

    /** Returns whether even all voters together can't bear the promised number of losses. */
    boolean hasTooFewVoters() {
        return possible < promised.orElse(0);
    }
}
