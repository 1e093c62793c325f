package org.laurelweir.consensus;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.laurelweir.consensus.ConsensusEffect.Persist;
import org.laurelweir.consensus.ConsensusEffect.ProposalRejected;
import org.laurelweir.consensus.ConsensusEffect.Send;
import org.laurelweir.consensus.ConsensusEvent.MembershipChangeProposed;
import org.laurelweir.consensus.ConsensusEvent.MessageReceived;
import org.laurelweir.consensus.MembershipChange.AddLearner;
import org.laurelweir.consensus.MembershipChange.Promote;
import org.laurelweir.consensus.MembershipChange.Remove;
import org.laurelweir.consensus.MembershipChange.Replace;
import org.laurelweir.consensus.ReplicaMessage.AppendRequest;
import org.laurelweir.consensus.ReplicaMessage.PreVoteReply;
import org.laurelweir.consensus.ReplicaMessage.PreVoteRequest;
import org.laurelweir.consensus.ReplicaMessage.SnapshotChunk;
import org.laurelweir.consensus.ReplicaMessage.VoteReply;
import org.laurelweir.consensus.ReplicaMessage.VoteRequest;
import org.laurelweir.lib.ResultCode;

/**
 * Tests of single rules of the replicated log, each in the order of events that the rule is for.
 */
class ConsensusRulesTest {
    private static final Duration SECOND = Duration.ofSeconds(1);

    private ReplicaNetwork mNetwork;
    private TestReplica mLeader;
    private TestReplica mFollower;

    @BeforeEach
    void electLeader() {
        mNetwork = new ReplicaNetwork(1, 3);
        mNetwork.healAndRun(SECOND.multipliedBy(3));
        mLeader = mNetwork.leader();
        mFollower = mNetwork.running().stream().filter(r -> r != mLeader).findFirst().orElseThrow();
    }

    // Guards against lost entries through two votes in one term: a replica grants a vote, crashes
    // before the sync and then grants another vote in the same term. This is harmless only if the
    // first grant is not sent before the sync.
    @Test
    void sendsVoteOnlyAfterSync() {
        TestReplica voter = new TestReplica(new ReplicaId("v", 1));
        voter.start(Instant.EPOCH, 1);
        VoteRequest request = new VoteRequest(5, 9, 4, false);
        List<ConsensusEffect> effects =
                mNetwork.effectsOf(voter, new MessageReceived(mLeader.mId, request));
        assertThat(effects).noneMatch(e -> e instanceof Send);
        assertThat(effects).anyMatch(e -> e instanceof Persist);
        assertThat(mNetwork.effectsOf(voter, new ConsensusEvent.Persisted(1)))
                .contains(new Send(mLeader.mId, new VoteReply(5, true)));
    }

    // Guards against a stale read: the leader pauses, another one is elected and accepts a command,
    // and a read reaches the old leader as it resumes. The old leader first has to contact a
    // quorum, which follows the new leader.
    @Test
    void pausedLeaderServesNoStaleRead() {
        mLeader.mIsPaused = true;
        mNetwork.run(SECOND);
        TestReplica newLeader = mNetwork.leader();
        assertThat(newLeader).isNotSameAs(mLeader);
        mNetwork.propose(newLeader, "new");
        mNetwork.run(SECOND);
        assertThat(mNetwork.mChecker.acceptedCount()).isEqualTo(1);
        mNetwork.read(mLeader);
        mLeader.mIsPaused = false;
        mNetwork.syncAndRunLocal(mLeader);
        mNetwork.healAndRun(SECOND);
    }

    // Guards against quorums that do not overlap: an operator requests a second membership change
    // before the first one is committed, and the quorums of the first and the third membership may
    // share no voter. The operator gets MEMBERSHIP_CHANGE_PENDING.
    @Test
    void rejectsSecondUncommittedMembershipChange() {
        mNetwork.propose(mLeader, new Remove(mFollower.mId));
        assertChangePending(mLeader, new AddLearner(new ReplicaId("x", 1)));
    }

    // Guards against two uncommitted membership changes: a new leader gets a change before it has
    // committed an entry of its term, while its predecessor's change may still be uncommitted. The
    // operator gets MEMBERSHIP_CHANGE_PENDING.
    @Test
    void newLeaderRejectsMembershipChangeBeforeItCommits() {
        mLeader.crash(mNetwork.mRandom);
        while (mNetwork.leader() == null) {
            mNetwork.run(Duration.ofMillis(20));
        }
        assertChangePending(mNetwork.leader(), new AddLearner(new ReplicaId("x", 1)));
    }

    // Guards against a voter without the log, which enlarges the quorum but can't help to reach it:
    // a replica returns with a new disk and is partitioned at first. The operator gets
    // MEMBERSHIP_CHANGE_PENDING until the learner has the log, then success.
    @Test
    void promotesLearnerOnlyAfterCatchUp() {
        mFollower.crash(mNetwork.mRandom);
        mNetwork.replaceDisk(mFollower.mId.name());
        ReplicaId learner = mNetwork.mReplicas.get(mFollower.mId.name()).mId;
        mNetwork.partition(List.of(learner.name()));
        mNetwork.propose(mLeader, new AddLearner(learner));
        mNetwork.run(Duration.ofMillis(100));
        assertChangePending(mLeader, new Promote(learner));
        mNetwork.healAndRun(SECOND);
        mNetwork.propose(mNetwork.leader(), new Promote(learner));
        mNetwork.healAndRun(SECOND);
        assertThat(mNetwork.leader().mReducer.membership().isVoter(learner)).isTrue();
    }

    // Guards against a membership that can't commit: one of three voters is down and an operator
    // removes the other follower. Only one of the two remaining voters would be running. The
    // operator gets NO_QUORUM.
    @Test
    void rejectsChangeThatLeavesNoQuorumInContact() {
        mFollower.crash(mNetwork.mRandom);
        mNetwork.run(SECOND);
        ReplicaId other =
                mNetwork.running().stream().filter(r -> r != mLeader).findFirst().orElseThrow().mId;
        List<ConsensusEffect> effects =
                mNetwork.effectsOf(mLeader, new MembershipChangeProposed(1, new Remove(other)));
        assertThat(effects).contains(new ProposalRejected(1, ResultCode.NO_QUORUM, mLeader.mId));
    }

    // Guards against a log that a second loss stops for good although a replacement has caught up:
    // a
    // voter is lost, a learner takes its place, and then another voter is lost.
    @Test
    void replacementLetsAnotherVoterBeLost() {
        ReplicaId learner = replaceInstanceByLearner(mFollower);
        mNetwork.propose(mNetwork.leader(), new Replace(mFollower.mId, learner));
        mNetwork.healAndRun(SECOND);
        Membership members = mNetwork.leader().mReducer.membership();
        assertThat(members.isJoint()).isFalse();
        assertThat(members.voters()).hasSize(3).contains(learner).doesNotContain(mFollower.mId);
        assertThat(members.learners()).containsExactly(mFollower.mId);
        mLeader.crash(mNetwork.mRandom);
        mNetwork.run(SECOND.multipliedBy(3));
        mNetwork.propose(mNetwork.leader(), "after the second loss");
        mNetwork.run(SECOND);
        assertThat(mNetwork.mChecker.acceptedCount()).isEqualTo(1);
    }

    // Guards against a replacement that nobody completes: the leader is lost when it has sent the
    // joint membership, and the next leader has to complete it.
    @Test
    void nextLeaderCompletesAReplacement() {
        ReplicaId learner = replaceInstanceByLearner(mFollower);
        mNetwork.propose(mLeader, new Replace(mFollower.mId, learner));
        mLeader.mIsPaused = true;
        mNetwork.run(Duration.ofMillis(100));
        mLeader.crash(mNetwork.mRandom);
        assertThat(mNetwork.running()).allMatch(r -> r.membershipOnDisk().isJoint());
        mNetwork.start(mLeader);
        mNetwork.run(SECOND.multipliedBy(3));
        Membership members = mNetwork.leader().mReducer.membership();
        assertThat(members.isJoint()).isFalse();
        assertThat(members.voters()).contains(learner).doesNotContain(mFollower.mId);
    }

    // Guards against a second membership change in the midst of a replacement, after which the
    // quorums of three memberships would have to overlap.
    @Test
    void rejectsMembershipChangeDuringAReplacement() {
        ReplicaId learner = replaceInstanceByLearner(mFollower);
        mNetwork.propose(mLeader, new Replace(mFollower.mId, learner));
        assertThat(mLeader.mReducer.membership().isJoint()).isTrue();
        assertChangePending(mLeader, new AddLearner(new ReplicaId("x", 1)));
    }

    // Guards against a voter that forgets its votes and entries at each restart: an operator
    // promotes
    // a learner without a disk.
    @Test
    void learnerWithoutDiskNeverVotes() {
        ReplicaId learner = new ReplicaId("d", -1);
        TestReplica replica = new TestReplica(learner);
        mNetwork.mReplicas.put(learner.name(), replica);
        mNetwork.start(replica);
        mNetwork.propose(mLeader, new AddLearner(learner));
        mNetwork.healAndRun(SECOND);
        ProposalRejected rejection =
                new ProposalRejected(9, ResultCode.SETTINGS_INVALID, mLeader.mId);
        for (MembershipChange change :
                List.of(new Promote(learner), new Replace(mFollower.mId, learner))) {
            assertThat(mNetwork.effectsOf(mLeader, new MembershipChangeProposed(9, change)))
                    .contains(rejection);
        }
    }

    /** Loses a replica for good and adds an empty one at another address as a learner. */
    private ReplicaId replaceInstanceByLearner(TestReplica lost) {
        mNetwork.replaceInstance(lost);
        ReplicaId learner =
                mNetwork.running().stream()
                        .map(r -> r.mId)
                        .filter(id -> !mLeader.mReducer.membership().contains(id))
                        .findFirst()
                        .orElseThrow();
        mNetwork.propose(mLeader, new AddLearner(learner));
        mNetwork.healAndRun(SECOND);
        return learner;
    }

    private void assertChangePending(TestReplica leader, MembershipChange change) {
        List<ConsensusEffect> effects =
                mNetwork.effectsOf(leader, new MembershipChangeProposed(9, change));
        ResultCode code = ResultCode.MEMBERSHIP_CHANGE_PENDING;
        assertThat(effects).contains(new ProposalRejected(9, code, leader.mId));
    }

    // Guards against an interruption when a follower returns from a long partition. Its pre-vote
    // requests are not granted, so it does not raise its term and does not depose the leader.
    @Test
    void rejoiningReplicaDoesNotDeposeLeader() {
        long term = mLeader.mReducer.term();
        mNetwork.partition(List.of(mFollower.mId.name()));
        mNetwork.run(SECOND.multipliedBy(5));
        mNetwork.healAndRun(SECOND);
        assertThat(mLeader.mReducer.role()).isEqualTo(Role.LEADER);
        assertThat(mLeader.mReducer.term()).isEqualTo(term);
    }

    // Guards against an interruption by a removed replica that does not know of its removal and
    // requests votes in a high term. A replica in contact with the leader ignores the request and
    // its term.
    @Test
    void grantsNoVoteWhileLeaderIsInContact() {
        VoteRequest request = new VoteRequest(99, 99, 98, false);
        PreVoteRequest preVote = new PreVoteRequest(99, 99, 98);
        for (TestReplica r : mNetwork.running()) {
            PreVoteReply rejection = new PreVoteReply(r.mReducer.term(), false);
            assertThat(mNetwork.effectsOf(r, new MessageReceived(mLeader.mId, preVote)))
                    .contains(new Send(mLeader.mId, rejection));
            mNetwork.step(r, new MessageReceived(new ReplicaId("removed", 1), request));
        }
        assertThat(mNetwork.running()).allMatch(r -> r.mReducer.term() < 99);
    }

    // Guards against a failed proposal and an election timeout when a leader stops. A leader with a
    // pending proposal is asked to transfer leadership and then gets another proposal. It rejects
    // the second one as not run and commits the first one before it asks the successor to campaign.
    // Voters grant that vote although they are in contact with the leader.
    @Test
    void transfersLeadershipAfterPendingProposalsCommit() {
        mNetwork.propose(mLeader, "pending");
        mNetwork.step(mLeader, new ConsensusEvent.LeadershipTransferRequested());
        assertThat(mNetwork.effectsOf(mLeader, new ConsensusEvent.Proposed(9, new byte[1])))
                .contains(new ProposalRejected(9, ResultCode.NOT_LEADER, null));
        mNetwork.run(Duration.ofMillis(80));
        assertThat(mNetwork.mChecker.acceptedCount()).isEqualTo(1);
        assertThat(mLeader.mReducer.role()).isEqualTo(Role.FOLLOWER);
        assertThat(mNetwork.leader()).isNotNull();
    }

    // Guards against OUTCOME_UNKNOWN for a proposal that is pending at a leadership transfer. Of
    // five replicas only the leader and one follower hold the proposal when the transfer is
    // requested; then a third one gets it. A successor with the whole log is not enough: the
    // proposal has to be committed first.
    @Test
    void transferWaitsUntilQuorumHoldsProposal() {
        mNetwork = new ReplicaNetwork(1, 5);
        mNetwork.healAndRun(SECOND.multipliedBy(3));
        mLeader = mNetwork.leader();
        List<TestReplica> others = mNetwork.running().stream().filter(r -> r != mLeader).toList();
        others.subList(1, 4).forEach(r -> r.mIsPaused = true);
        mNetwork.propose(mLeader, "pending");
        mNetwork.step(mLeader, new ConsensusEvent.LeadershipTransferRequested());
        mNetwork.run(Duration.ofMillis(60));
        assertThat(mLeader.mReducer.role()).isEqualTo(Role.LEADER);
        others.get(1).mIsPaused = false;
        mNetwork.run(Duration.ofMillis(80));
        assertThat(mNetwork.mChecker.acceptedCount()).isEqualTo(1);
        assertThat(mLeader.mReducer.role()).isEqualTo(Role.FOLLOWER);
    }

    // Guards against a leader that rejects proposals forever: a transfer is requested while all
    // other replicas are unreachable, and later they return. The transfer ends after an election
    // timeout.
    @Test
    void transferTimesOutWithoutReachableSuccessor() {
        mNetwork.partition(List.of(mLeader.mId.name()));
        mNetwork.step(mLeader, new ConsensusEvent.LeadershipTransferRequested());
        mNetwork.healAndRun(SECOND);
        mNetwork.propose(mNetwork.leader(), "c");
        mNetwork.run(SECOND);
        assertThat(mNetwork.mChecker.acceptedCount()).isEqualTo(1);
    }

    // Guards against callers that wait until a partition ends: a leader with a pending proposal
    // loses contact to both followers. It notices that it has no quorum in contact and steps down,
    // so that callers get OUTCOME_UNKNOWN soon.
    @Test
    void leaderWithoutQuorumStepsDown() {
        mNetwork.partition(List.of(mLeader.mId.name()));
        mNetwork.propose(mLeader, "c");
        mNetwork.run(Duration.ofMillis(200));
        assertThat(mLeader.mReducer.role()).isNotEqualTo(Role.LEADER);
    }

    // Guards against lost entries through a gap in the log: a follower's log ends in entries of an
    // old term, and the leader's previous entry is missing there or has another term. The follower
    // has to reject the append.
    @Test
    void rejectsEntriesThatLeaveAGap() {
        long last = mFollower.mReducer.log().lastIndex();
        long term = mLeader.mReducer.term();
        List<LogEntry> entries = List.of(entry(last + 2, term));
        AppendRequest gap = new AppendRequest(term, last + 1, -1, entries, last + 2, 0);
        mNetwork.step(mFollower, new MessageReceived(mLeader.mId, gap));
        assertThat(mFollower.mReducer.log().lastIndex()).isEqualTo(last);
    }

    // Guards against lost entries through a late sync: a new leader replaces the last two entries
    // while they are being synced. When the first sync ends and the second one has not, the
    // replaced entries must not count as durable.
    @Test
    void syncOfReplacedEntriesDoesNotCount() {
        DiskWriteQueue queue = new DiskWriteQueue();
        queue.write(List.of(entry(1, 1), entry(2, 1), entry(3, 1)));
        queue.flush(e -> {});
        queue.write(List.of(entry(2, 2), entry(3, 2)));
        queue.flush(e -> {});
        queue.onSynced(1);
        assertThat(queue.durableIndex()).isEqualTo(1);
        queue.onSynced(2);
        assertThat(queue.durableIndex()).isEqualTo(3);
    }

    // Guards against entries that were never committed: at the index where the leader's snapshot
    // ends, a follower's log has an entry of an older term. The follower's log conflicts with the
    // snapshot and has to be deleted from disk.
    @Test
    void discardsLogThatConflictsWithSnapshot() {
        long index = mFollower.mReducer.log().lastIndex() + 1;
        long term = mLeader.mReducer.term();
        mNetwork.step(mFollower, append(term, index - 1, entry(index, term)));
        mNetwork.syncAndRunLocal(mFollower);
        Membership members = mLeader.mReducer.membership();
        SnapshotChunk chunk =
                new SnapshotChunk(term + 1, index, term + 1, members, 0, 0, new byte[0], 0);
        assertThat(mNetwork.effectsOf(mFollower, new MessageReceived(mLeader.mId, chunk)))
                .anyMatch(e -> e instanceof Persist p && p.discardLog());
    }

    // Guards against a follower that never catches up: its log ends in a long term, of which the
    // leader holds only the first entry, and its hint is the index before that term. The leader
    // must not ignore the rejection as a late one, but probe after the match index.
    @Test
    void probesAfterMatchIndexWhenHintIsLower() {
        FollowerProgress progress = new FollowerProgress(88, Instant.EPOCH);
        progress.onMatch(80);
        progress.onSent(88, 1);
        progress.onMismatch(79);
        assertThat(progress.mode()).isEqualTo(FollowerProgress.Mode.PROBE);
        assertThat(progress.nextIndex()).isEqualTo(81);
    }

    private MessageReceived append(long term, long prevIndex, LogEntry entry) {
        long prevTerm = mFollower.mReducer.log().termAt(prevIndex);
        AppendRequest append = new AppendRequest(term, prevIndex, prevTerm, List.of(entry), 0, 0);
        return new MessageReceived(mLeader.mId, append);
    }

    private static LogEntry entry(long index, long term) {
        return new LogEntry(index, term, LogEntry.Kind.NO_OP, new byte[0]);
    }
}
