package org.laurelweir.consensus;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.laurelweir.lib.ResultCode;

/**
 * Checks the safety properties of Raft and of linearizable reads while a simulated run proceeds.
 */
final class SafetyChecker {
    private final Map<Long, ReplicaId> mLeadersByTerm = new HashMap<>();
    private final TreeMap<Long, String> mCommittedCommands = new TreeMap<>();
    private final List<String> mAppliedSequence = new ArrayList<>();
    private final TreeMap<Long, Long> mCommittedTerms = new TreeMap<>();
    private final Map<Long, String> mProposedCommands = new HashMap<>();
    private final Set<String> mAcceptedCommands = new HashSet<>();
    private final Set<String> mRejectedCommands = new HashSet<>();

    /** For each read, the number of applied commands that it must see at least. */
    private final Map<Long, Integer> mMinReadLengths = new HashMap<>();

    /** The highest number of applied commands that a caller has observed through any answer. */
    private int mMaxObservedLength;

    void onProposed(long id, String command) {
        mProposedCommands.put(id, command);
    }

    void onReadRequested(long id) {
        mMinReadLengths.put(id, mMaxObservedLength);
    }

    /**
     * Checks election safety (one leader per term) and leader completeness (a leader's log contains
     * all committed entries).
     */
    void onElected(ReplicaId id, long term, ReplicatedLog log) {
        ReplicaId other = mLeadersByTerm.putIfAbsent(term, id);
        assertThat(other == null || other.equals(id))
                .as("term %s has leaders %s and %s", term, other, id)
                .isTrue();
        mCommittedTerms
                .tailMap(log.baseIndex(), true)
                .forEach(
                        (index, entryTerm) ->
                                assertThat(log.termAt(index))
                                        .as("leader %s of term %s lacks entry %s", id, term, index)
                                        .isEqualTo(entryTerm));
    }

    /**
     * Checks state machine safety: all replicas apply the same command at each index, in the same
     * sequence.
     */
    void onApplied(TestReplica replica, long index, long term, String command) {
        String other = mCommittedCommands.putIfAbsent(index, command);
        if (other == null) {
            mAppliedSequence.add(index + ":" + command);
        }
        mCommittedTerms.put(index, term);
        assertThat(mRejectedCommands).as("rejected commands").doesNotContain(command);
        int last = replica.mApplied.size() - 1;
        assertThat(replica.mApplied.get(last))
                .as("applied by %s as number %s", replica.mId, last)
                .isEqualTo(mAppliedSequence.get(last));
    }

    void assertIsPrefix(TestReplica replica) {
        assertThat(replica.mApplied)
                .as("state of %s", replica.mId)
                .isEqualTo(mAppliedSequence.subList(0, replica.mApplied.size()));
    }

    void onAccepted(TestReplica replica, long proposalId, long index) {
        String command = mProposedCommands.get(proposalId);
        if (command == null) {
            return;
        }
        assertThat(mCommittedCommands.get(index))
                .as("command accepted at index %s", index)
                .isEqualTo(command);
        assertThat(replica.mAppliedIndex).isEqualTo(index);
        mAcceptedCommands.add(command);
        mMaxObservedLength = Math.max(mMaxObservedLength, replica.mApplied.size());
    }

    void onRejected(long proposalId, ResultCode code) {
        String command = mProposedCommands.get(proposalId);
        if (command != null && code != ResultCode.OUTCOME_UNKNOWN) {
            mRejectedCommands.add(command);
            assertThat(mCommittedCommands.containsValue(command)).as(command).isFalse();
        }
    }

    /**
     * Checks that reads are linearizable: a read sees at least the state that any caller had
     * observed when the read was requested.
     */
    void onReadReady(TestReplica replica, long readId) {
        assertThat(replica.mApplied.size())
                .as("read %s on %s", readId, replica.mId)
                .isGreaterThanOrEqualTo(mMinReadLengths.get(readId));
        mMaxObservedLength = Math.max(mMaxObservedLength, replica.mApplied.size());
    }

    /** Checks log matching: logs that have the same term at an index are equal up to that index. */
    static void assertLogsMatch(Collection<ReplicatedLog> logs) {
        for (ReplicatedLog a : logs) {
            for (ReplicatedLog b : logs) {
                assertMatch(a, b);
            }
        }
    }

    private static void assertMatch(ReplicatedLog a, ReplicatedLog b) {
        boolean hasMatched = false;
        long base = Math.max(a.baseIndex(), b.baseIndex());
        for (long i = Math.min(a.lastIndex(), b.lastIndex()); i > base; i--) {
            boolean isSameTerm = a.termAt(i) == b.termAt(i);
            assertThat(!hasMatched || isSameTerm).as("logs differ before %s", i + 1).isTrue();
            if (isSameTerm) {
                hasMatched = true;
                assertThat(a.entry(i).payload()).isEqualTo(b.entry(i).payload());
            }
        }
    }

    /**
     * Checks that a membership may follow another one in a log: each quorum of the one shares a
     * replica with each quorum of the other, and a joint membership has a quorum wherever those
     * before and after it have one. Otherwise two leaders could commit at once, or a loss that is
     * survived before and after a replacement would stop the log during it.
     */
    static void assertMayFollow(Membership previous, Membership next) {
        if (previous.equals(Membership.EMPTY)) {
            return;
        }
        List<ReplicaId> all = new ArrayList<>(previous.allVoters());
        next.allVoters().stream().filter(v -> !previous.isVoter(v)).forEach(all::add);
        Membership before = Membership.ofVoters(previous.previousVoters());
        for (int subset = 0; subset < 1 << all.size(); subset++) {
            Set<ReplicaId> running = new HashSet<>();
            Set<ReplicaId> others = new HashSet<>();
            for (int i = 0; i < all.size(); i++) {
                (((subset >> i) & 1) == 1 ? running : others).add(all.get(i));
            }
            boolean isDisjoint =
                    previous.hasQuorum(running::contains) && next.hasQuorum(others::contains);
            assertThat(isDisjoint)
                    .as("%s and %s have quorums %s and %s", previous, next, running, others)
                    .isFalse();
            boolean isNeededDuring =
                    previous.isJoint()
                            && before.hasQuorum(running::contains)
                            && next.hasQuorum(running::contains);
            assertThat(!isNeededDuring || previous.hasQuorum(running::contains))
                    .as("%s of %s is a quorum before and after, not during", running, previous)
                    .isTrue();
        }
    }

    /** Checks that a replica has applied every accepted proposal. */
    void assertHoldsAccepted(TestReplica replica) {
        Set<String> appliedCommands = new HashSet<>();
        replica.mApplied.forEach(
                line -> appliedCommands.add(line.substring(line.indexOf(':') + 1)));
        assertThat(appliedCommands).as("state of %s", replica.mId).containsAll(mAcceptedCommands);
    }

    int acceptedCount() {
        return mAcceptedCommands.size();
    }

    int termsWithLeaderCount() {
        return mLeadersByTerm.size();
    }
}
