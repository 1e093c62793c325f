package org.laurelweir.coordination;

import java.time.Duration;
import java.util.List;
import org.laurelweir.consensus.Membership;
import org.laurelweir.consensus.ReplicaId;

/**
 * How many losses the log can bear, with the inputs of that.
 *
 * @param members the membership of the log
 * @param tolerance how many losses the log can bear
 * @param oldestReply age of the oldest last reply among the voters that count
 * @param readyLearners the learners with disks that have caught up, and that could vote
 */
record LossReport(
        Membership members,
        LossTolerance tolerance,
        Duration oldestReply,
        List<ReplicaId> readyLearners) {

    int voterCount() {
        return members.allVoters().size();
    }

    int countedVoters() {
        return voterCount() - tolerance.missing().size();
    }
}
