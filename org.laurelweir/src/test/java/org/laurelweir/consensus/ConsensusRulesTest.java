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
import org.laurelweir.consensus.ReplicaMessage.AppendRequest;
import org.laurelweir.consensus.ReplicaMessage.PreVoteReply;
import org.laurelweir.consensus.ReplicaMessage.PreVoteRequest;
import org.laurelweir.consensus.ReplicaMessage.SnapshotChunk;
import org.laurelweir.consensus.ReplicaMessage.VoteReply;
import org.laurelweir.consensus.ReplicaMessage.VoteRequest;
import org.laurelweir.lib.ResultCode;

/** Single rules, in the one order of events that needs each. */
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

    // Callers see: nothing lost. Order: a replica grants a vote, crashes before the sync, and
    // grants another one in the same term. Why: the first grant was never sent.
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

    // Callers see: a read shows what was accepted before it. Order: the leader stands still,
    // another is elected and accepts a command, a read reaches the old leader as it wakes up. Why:
    // it first asks a quorum, which no longer follows it.
    @Test
    void pausedLeaderServesNoStaleRead() {
        mLeader.mIsPaused = true;
        mNetwork.run(SECOND);
        TestReplica next = mNetwork.leader();
        assertThat(next).isNotSameAs(mLeader);
        mNetwork.propose(next, "new");
        mNetwork.run(SECOND);
        assertThat(mNetwork.mChecker.acceptedCount()).isEqualTo(1);
        mNetwork.read(mLeader);
        mLeader.mIsPaused = false;
        mNetwork.syncAndRunLocal(mLeader);
        mNetwork.healAndRun(SECOND);
    }

    // Operators see: MEMBERSHIP_CHANGE_PENDING. Order: a second change is asked for before the
    // first is committed. Why: the quorums of the first and the last of three memberships may not
    // overlap.
    @Test
    void rejectsSecondUncommittedMembershipChange() {
        mNetwork.propose(mLeader, new Remove(mFollower.mId));
        assertChangePending(mLeader, new AddLearner(new ReplicaId("x", 1)));
    }

    // Operators see: MEMBERSHIP_CHANGE_PENDING. Order: a leader is elected and asked for a change
    // before an entry of its term is committed. Why: its predecessor's change may still be open.
    @Test
    void newLeaderRejectsMembershipChangeBeforeItCommits() {
        mLeader.crash(mNetwork.mRandom);
        while (mNetwork.leader() == null) {
            mNetwork.run(Duration.ofMillis(20));
        }
        assertChangePending(mNetwork.leader(), new AddLearner(new ReplicaId("x", 1)));
    }

    // Operators see: MEMBERSHIP_CHANGE_PENDING until the learner holds the log, then success.
    // Order: a replica returns on a new disk, cut off at first. Why: a voter without the log makes
    // the quorum larger and can't help to reach it.
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

    // Operators see: NO_QUORUM. Order: one of three voters is down, and the other follower is to be
    // removed. Why: of the two voters left only one would be there, and nothing could be committed.
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

    private void assertChangePending(TestReplica leader, MembershipChange change) {
        List<ConsensusEffect> effects =
                mNetwork.effectsOf(leader, new MembershipChangeProposed(9, change));
        ResultCode code = ResultCode.MEMBERSHIP_CHANGE_PENDING;
        assertThat(effects).contains(new ProposalRejected(9, code, leader.mId));
    }

    // Callers see: no pause. Order: a follower is cut off for long and comes back.
    // Why: it asked in vain whether it could win, and so did not raise its term.
    @Test
    void rejoiningReplicaDoesNotDeposeLeader() {
        long term = mLeader.mReducer.term();
        mNetwork.partition(List.of(mFollower.mId.name()));
        mNetwork.run(SECOND.multipliedBy(5));
        mNetwork.healAndRun(SECOND);
        assertThat(mLeader.mReducer.role()).isEqualTo(Role.LEADER);
        assertThat(mLeader.mReducer.term()).isEqualTo(term);
    }

    // Callers see: no pause. Order: a removed replica that does not know it asks for votes in a
    // high term. Why: whoever hears the leader doesn't even look at the term.
    @Test
    void grantsNoVoteWhileLeaderIsInContact() {
        VoteRequest request = new VoteRequest(99, 99, 98, false);
        PreVoteRequest before = new PreVoteRequest(99, 99, 98);
        for (TestReplica r : mNetwork.running()) {
            PreVoteReply refused = new PreVoteReply(r.mReducer.term(), false);
            assertThat(mNetwork.effectsOf(r, new MessageReceived(mLeader.mId, before)))
                    .contains(new Send(mLeader.mId, refused));
            mNetwork.step(r, new MessageReceived(new ReplicaId("removed", 1), request));
        }
        assertThat(mNetwork.running()).allMatch(r -> r.mReducer.term() < 99);
    }

    // Callers see: what is under way is accepted, what comes now is turned away as not run, and the
    // next leader is there without an election timeout. Order: a leader with a proposal under way
    // is asked to hand over, and gets another one. Why: it commits the first before it asks the
    // successor to campaign, and voters need not have lost the leader to vote then.
    @Test
    void transfersLeadershipAfterPendingProposalsCommit() {
        mNetwork.propose(mLeader, "under way");
        mNetwork.step(mLeader, new ConsensusEvent.LeadershipTransferRequested());
        assertThat(mNetwork.effectsOf(mLeader, new ConsensusEvent.Proposed(9, new byte[1])))
                .contains(new ProposalRejected(9, ResultCode.NOT_LEADER, null));
        mNetwork.run(Duration.ofMillis(80));
        assertThat(mNetwork.mChecker.acceptedCount()).isEqualTo(1);
        assertThat(mLeader.mReducer.role()).isEqualTo(Role.FOLLOWER);
        assertThat(mNetwork.leader()).isNotNull();
    }

    // Callers see: accepted, not OUTCOME_UNKNOWN. Order: of five replicas only the leader and one
    // follower hold a proposal as the leader is asked to hand over; then a third gets it.
    // Why: a successor that holds all is not enough, the proposal has to be committed first.
    @Test
    void transferWaitsUntilQuorumHoldsProposal() {
        mNetwork = new ReplicaNetwork(1, 5);
        mNetwork.healAndRun(SECOND.multipliedBy(3));
        mLeader = mNetwork.leader();
        List<TestReplica> others = mNetwork.running().stream().filter(r -> r != mLeader).toList();
        others.subList(1, 4).forEach(r -> r.mIsPaused = true);
        mNetwork.propose(mLeader, "under way");
        mNetwork.step(mLeader, new ConsensusEvent.LeadershipTransferRequested());
        mNetwork.run(Duration.ofMillis(60));
        assertThat(mLeader.mReducer.role()).isEqualTo(Role.LEADER);
        others.get(1).mIsPaused = false;
        mNetwork.run(Duration.ofMillis(80));
        assertThat(mNetwork.mChecker.acceptedCount()).isEqualTo(1);
        assertThat(mLeader.mReducer.role()).isEqualTo(Role.FOLLOWER);
    }

    // Callers see: the leader takes proposals again. Order: it is asked to hand over while all
    // others are cut off, and they come back. Why: a hand-over ends after an election timeout.
    @Test
    void transferTimesOutWithoutReachableSuccessor() {
        mNetwork.partition(List.of(mLeader.mId.name()));
        mNetwork.step(mLeader, new ConsensusEvent.LeadershipTransferRequested());
        mNetwork.healAndRun(SECOND);
        mNetwork.propose(mNetwork.leader(), "c");
        mNetwork.run(SECOND);
        assertThat(mNetwork.mChecker.acceptedCount()).isEqualTo(1);
    }

    // Callers see: OUTCOME_UNKNOWN soon, instead of waiting for the cut to end. Order: the leader
    // is cut off from both followers with a proposal under way. Why: it counts its contacts.
    @Test
    void leaderWithoutQuorumStepsDown() {
        mNetwork.partition(List.of(mLeader.mId.name()));
        mNetwork.propose(mLeader, "c");
        mNetwork.run(Duration.ofMillis(200));
        assertThat(mLeader.mReducer.role()).isNotEqualTo(Role.LEADER);
    }

    // Callers see: nothing lost. Order: a follower's log ends in entries of an old term and the
    // leader's previous entry is missing or of another term. Why: the follower refuses the append.
    @Test
    void rejectsEntriesThatLeaveAGap() {
        long last = mFollower.mReducer.log().lastIndex();
        long term = mLeader.mReducer.term();
        List<LogEntry> entries = List.of(entry(last + 2, term));
        AppendRequest gap = new AppendRequest(term, last + 1, -1, entries, last + 2, 0);
        mNetwork.step(mFollower, new MessageReceived(mLeader.mId, gap));
        assertThat(mFollower.mReducer.log().lastIndex()).isEqualTo(last);
    }

    // Callers see: nothing lost. Order: entries are being synced as a new leader replaces the last
    // two; the first sync ends, the second has not. Why: what was replaced no longer counts.
    @Test
    void syncOfReplacedEntriesDoesNotCount() {
        DiskWriteQueue durability = new DiskWriteQueue();
        durability.write(List.of(entry(1, 1), entry(2, 1), entry(3, 1)));
        durability.flush(e -> {});
        durability.write(List.of(entry(2, 2), entry(3, 2)));
        durability.flush(e -> {});
        durability.onSynced(1);
        assertThat(durability.durableIndex()).isEqualTo(1);
        durability.onSynced(2);
        assertThat(durability.durableIndex()).isEqualTo(3);
    }

    // Callers see: nothing lost. Order: a follower's log ends in an old term at the index at which
    // the leader's snapshot ends in a newer one. Why: what the disk holds after it belongs to no
    // history.
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

    // Callers see: the follower catches up. Order: a follower whose log ends in a long term, of
    // which the leader holds only the first entry, names the index before that term (found by a
    // property). Why: the leader goes on after the match, and does not take the refusal for a late
    // one.
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
