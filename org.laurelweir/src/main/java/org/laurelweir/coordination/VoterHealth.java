package org.laurelweir.coordination;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import org.laurelweir.consensus.Membership;
import org.laurelweir.consensus.ReplicaId;
import org.laurelweir.coordination.LossTolerance.Cause;
import org.laurelweir.coordination.LossTolerance.MissingVoter;

/** What a leader knows of the voters. */
interface VoterHealth {
    /** Returns whether a voter has replied lately and has nearly the whole log. */
    boolean hasCaughtUp(ReplicaId voter);

    /** Returns when a voter last replied; empty for the leader itself. */
    Optional<Instant> lastContact(ReplicaId voter);

    /** Returns whether a voter's disk is known to be lost. */
    boolean hasLostDisk(ReplicaId voter);

    /**
     * Returns how many losses the log can bear.
     *
     * @param silenceTimeout time without a reply after which a voter counts as silent
     * @param promised the number of losses that the settings promise
     */
    default LossTolerance lossTolerance(
            Instant now, Membership members, Duration silenceTimeout, OptionalInt promised) {
        List<MissingVoter> missing = new ArrayList<>();
        for (ReplicaId voter : members.allVoters()) {
            if (!isWell(voter)) {
                Duration silence = silence(now, voter);
                missing.add(
                        new MissingVoter(voter, cause(voter, silence, silenceTimeout), silence));
            }
        }
        int spare = Math.max(0, members.spareVoters(this::isWell));
        return new LossTolerance(spare, members.spareVoters(v -> true), promised, missing);
    }

    private boolean isWell(ReplicaId voter) {
        return hasCaughtUp(voter) && !hasLostDisk(voter);
    }

    private Cause cause(ReplicaId voter, Duration silence, Duration silenceTimeout) {
        if (hasLostDisk(voter)) {
            return Cause.DISK_LOST;
        }
        return silence.compareTo(silenceTimeout) < 0 ? Cause.BEHIND : Cause.SILENT;
    }

    private Duration silence(Instant now, ReplicaId voter) {
        return lastContact(voter).map(t -> Duration.between(t, now)).orElse(Duration.ZERO);
    }
}
