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

/** What happened in a run, checked against what must always hold as it happens. */
final class AgreementHistory {
    private final Map<Long, ReplicaId> mLeaders = new HashMap<>();
    private final TreeMap<Long, String> mCommitted = new TreeMap<>();
    private final List<String> mSequence = new ArrayList<>();
    private final TreeMap<Long, Long> mCommittedTerms = new TreeMap<>();
    private final Map<Long, String> mProposed = new HashMap<>();
    private final Set<String> mAccepted = new HashSet<>();
    private final Set<String> mNeverRun = new HashSet<>();
    private final Map<Long, Integer> mReadFloors = new HashMap<>();
    private int mSeenByAnyone;

    void proposed(long id, String command) {
        mProposed.put(id, command);
    }

    void readRequested(long id) {
        mReadFloors.put(id, mSeenByAnyone);
    }

    /** Election safety and leader completeness. */
    void leads(ReplicaId id, long term, ReplicatedLog log) {
        ReplicaId other = mLeaders.putIfAbsent(term, id);
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

    /** State machine safety: one command for each index, and the same sequence everywhere. */
    void applied(TestReplica replica, long index, long term, String command) {
        String other = mCommitted.putIfAbsent(index, command);
        if (other == null) {
            mSequence.add(index + ":" + command);
        }
        mCommittedTerms.put(index, term);
        assertThat(mNeverRun).as("was said not to be run").doesNotContain(command);
        int last = replica.mApplied.size() - 1;
        assertThat(replica.mApplied.get(last))
                .as("applied by %s as number %s", replica.mId, last)
                .isEqualTo(mSequence.get(last));
    }

    void assertIsPrefix(TestReplica replica) {
        assertThat(replica.mApplied)
                .as("state of %s", replica.mId)
                .isEqualTo(mSequence.subList(0, replica.mApplied.size()));
    }

    void accepted(TestReplica replica, long proposalId, long index) {
        String command = mProposed.get(proposalId);
        if (command == null) {
            return;
        }
        assertThat(mCommitted.get(index)).as("accepted at %s", index).isEqualTo(command);
        assertThat(replica.mAppliedIndex).isEqualTo(index);
        mAccepted.add(command);
        mSeenByAnyone = Math.max(mSeenByAnyone, replica.mApplied.size());
    }

    void rejected(long proposalId, ResultCode code) {
        String command = mProposed.get(proposalId);
        if (command != null && code != ResultCode.OUTCOME_UNKNOWN) {
            mNeverRun.add(command);
            assertThat(mCommitted.containsValue(command)).as(command).isFalse();
        }
    }

    /** Linearizable reads: none sees less than what had been answered when it was asked for. */
    void readReady(TestReplica replica, long readId) {
        assertThat(replica.mApplied.size())
                .as("read %s on %s", readId, replica.mId)
                .isGreaterThanOrEqualTo(mReadFloors.get(readId));
        mSeenByAnyone = Math.max(mSeenByAnyone, replica.mApplied.size());
    }

    /** Log matching: logs that agree on an entry's term agree on all before it. */
    static void assertLogsMatch(Collection<ReplicatedLog> logs) {
        for (ReplicatedLog a : logs) {
            for (ReplicatedLog b : logs) {
                assertMatch(a, b);
            }
        }
    }

    private static void assertMatch(ReplicatedLog a, ReplicatedLog b) {
        boolean agreed = false;
        long base = Math.max(a.baseIndex(), b.baseIndex());
        for (long i = Math.min(a.lastIndex(), b.lastIndex()); i > base; i--) {
            boolean same = a.termAt(i) == b.termAt(i);
            assertThat(!agreed || same).as("logs differ before %s", i + 1).isTrue();
            if (same) {
                agreed = true;
                assertThat(a.entry(i).payload()).isEqualTo(b.entry(i).payload());
            }
        }
    }

    /** No accepted proposal is lost. */
    void assertHoldsAccepted(TestReplica replica) {
        Set<String> held = new HashSet<>();
        replica.mApplied.forEach(line -> held.add(line.substring(line.indexOf(':') + 1)));
        assertThat(held).as("state of %s", replica.mId).containsAll(mAccepted);
    }

    int acceptedCount() {
        return mAccepted.size();
    }

    int termsLedCount() {
        return mLeaders.size();
    }
}
