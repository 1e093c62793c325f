package org.laurelweir.wire;

import com.google.protobuf.UnsafeByteOperations;
import org.laurelweir.consensus.LogEntry;
import org.laurelweir.consensus.Membership;
import org.laurelweir.consensus.ReplicaId;
import org.laurelweir.consensus.ReplicaMessage;
import org.laurelweir.wire.v1.EntriesAnswered;
import org.laurelweir.wire.v1.EntriesSent;
import org.laurelweir.wire.v1.ReplicaEntry;
import org.laurelweir.wire.v1.ReplicaEnvelope;
import org.laurelweir.wire.v1.SnapshotAnswered;
import org.laurelweir.wire.v1.SnapshotPiece;
import org.laurelweir.wire.v1.TimeoutNow;
import org.laurelweir.wire.v1.VoteAnswered;
import org.laurelweir.wire.v1.VoteAsked;

/**
 * Converts the messages between replicas of the log. Payloads are shared with the messages, not
 * copied.
 */
public final class ReplicaCodec {
    private ReplicaCodec() {}

    /** Returns the message of a replica's id. */
    public static org.laurelweir.wire.v1.ReplicaId toWire(ReplicaId id) {
        return org.laurelweir.wire.v1.ReplicaId.newBuilder()
                .setName(id.name())
                .setStorageId(id.storageId())
                .build();
    }

    /** Returns the replica's id that a message holds. */
    public static ReplicaId toCore(org.laurelweir.wire.v1.ReplicaId id) {
        return new ReplicaId(id.getName(), id.getStorageId());
    }

    /** Returns the envelope of a message, with its sender and its receiver. */
    public static ReplicaEnvelope toWire(ReplicaId from, ReplicaId to, ReplicaMessage message) {
        ReplicaEnvelope.Builder envelope =
                ReplicaEnvelope.newBuilder().setFrom(toWire(from)).setTo(toWire(to));
        if (message instanceof ReplicaMessage.AppendRequest m) {
            envelope.setAppendRequest(toWire(m));
        } else if (message instanceof ReplicaMessage.AppendReply m) {
            envelope.setAppendReply(toWire(m));
        } else if (message instanceof ReplicaMessage.SnapshotChunk m) {
            envelope.setSnapshotChunk(toWire(m));
        } else if (message instanceof ReplicaMessage.SnapshotReply m) {
            envelope.setSnapshotReply(toWire(m));
        } else if (message instanceof ReplicaMessage.PreVoteRequest m) {
            envelope.setPreVoteRequest(voteRequest(m.term(), m.lastIndex(), m.lastTerm()));
        } else if (message instanceof ReplicaMessage.PreVoteReply m) {
            envelope.setPreVoteReply(voteReply(m.term(), m.granted()));
        } else if (message instanceof ReplicaMessage.VoteRequest m) {
            VoteAsked asked = voteRequest(m.term(), m.lastIndex(), m.lastTerm());
            envelope.setVoteRequest(asked.toBuilder().setHandedOver(m.leadershipTransfer()));
        } else if (message instanceof ReplicaMessage.TimeoutNow m) {
            envelope.setTimeoutNow(TimeoutNow.newBuilder().setTerm(m.term()));
        } else if (message instanceof ReplicaMessage.VoteReply m) {
            envelope.setVoteReply(voteReply(m.term(), m.granted()));
        }
        return envelope.build();
    }

    /**
     * Returns the message in an envelope.
     *
     * @throws IllegalArgumentException if the envelope holds no message that this version knows
     */
    public static ReplicaMessage toCore(ReplicaEnvelope e) {
        return switch (e.getMessageCase()) {
            case PRE_VOTE_REQUEST -> {
                VoteAsked m = e.getPreVoteRequest();
                yield new ReplicaMessage.PreVoteRequest(
                        m.getTerm(), m.getLastIndex(), m.getLastTerm());
            }
            case PRE_VOTE_REPLY -> {
                VoteAnswered m = e.getPreVoteReply();
                yield new ReplicaMessage.PreVoteReply(m.getTerm(), m.getGranted());
            }
            case VOTE_REQUEST -> {
                VoteAsked m = e.getVoteRequest();
                yield new ReplicaMessage.VoteRequest(
                        m.getTerm(), m.getLastIndex(), m.getLastTerm(), m.getHandedOver());
            }
            case VOTE_REPLY -> {
                VoteAnswered m = e.getVoteReply();
                yield new ReplicaMessage.VoteReply(m.getTerm(), m.getGranted());
            }
            case APPEND_REQUEST -> toCore(e.getAppendRequest());
            case APPEND_REPLY -> toCore(e.getAppendReply());
            case SNAPSHOT_CHUNK -> toCore(e.getSnapshotChunk());
            case SNAPSHOT_REPLY -> toCore(e.getSnapshotReply());
            case TIMEOUT_NOW -> new ReplicaMessage.TimeoutNow(e.getTimeoutNow().getTerm());
            case MESSAGE_NOT_SET ->
                    throw new IllegalArgumentException(
                            "the envelope holds no replica message that this version knows");
        };
    }

    private static VoteAsked voteRequest(long term, long lastIndex, long lastTerm) {
        return VoteAsked.newBuilder()
                .setTerm(term)
                .setLastIndex(lastIndex)
                .setLastTerm(lastTerm)
                .build();
    }

    private static VoteAnswered voteReply(long term, boolean granted) {
        return VoteAnswered.newBuilder().setTerm(term).setGranted(granted).build();
    }

    private static EntriesSent toWire(ReplicaMessage.AppendRequest m) {
        EntriesSent.Builder sent =
                EntriesSent.newBuilder()
                        .setTerm(m.term())
                        .setPrevIndex(m.prevIndex())
                        .setPrevTerm(m.prevTerm())
                        .setCommitIndex(m.commitIndex())
                        .setRound(m.round());
        m.entries().forEach(e -> sent.addEntries(toWire(e)));
        return sent.build();
    }

    private static ReplicaMessage toCore(EntriesSent m) {
        return new ReplicaMessage.AppendRequest(
                m.getTerm(),
                m.getPrevIndex(),
                m.getPrevTerm(),
                m.getEntriesList().stream().map(ReplicaCodec::toCore).toList(),
                m.getCommitIndex(),
                m.getRound());
    }

    private static ReplicaEntry toWire(LogEntry e) {
        return ReplicaEntry.newBuilder()
                .setIndex(e.index())
                .setTerm(e.term())
                .setKind(e.kind().number())
                .setPayload(UnsafeByteOperations.unsafeWrap(e.payload()))
                .build();
    }

    private static LogEntry toCore(ReplicaEntry m) {
        return new LogEntry(
                m.getIndex(),
                m.getTerm(),
                LogEntry.Kind.of(m.getKind()),
                m.getPayload().toByteArray());
    }

    private static EntriesAnswered toWire(ReplicaMessage.AppendReply m) {
        return EntriesAnswered.newBuilder()
                .setTerm(m.term())
                .setSuccess(m.success())
                .setMatchIndex(m.matchIndex())
                .setRound(m.round())
                .setLeaving(m.leaving())
                .build();
    }

    private static ReplicaMessage toCore(EntriesAnswered m) {
        return new ReplicaMessage.AppendReply(
                m.getTerm(), m.getSuccess(), m.getMatchIndex(), m.getRound(), m.getLeaving());
    }

    private static SnapshotPiece toWire(ReplicaMessage.SnapshotChunk m) {
        return SnapshotPiece.newBuilder()
                .setTerm(m.term())
                .setIndex(m.index())
                .setSnapshotTerm(m.snapshotTerm())
                .setMembership(UnsafeByteOperations.unsafeWrap(m.membership().encode()))
                .setOffset(m.offset())
                .setTotalBytes(m.totalBytes())
                .setData(UnsafeByteOperations.unsafeWrap(m.data()))
                .setRound(m.round())
                .build();
    }

    private static ReplicaMessage toCore(SnapshotPiece m) {
        return new ReplicaMessage.SnapshotChunk(
                m.getTerm(),
                m.getIndex(),
                m.getSnapshotTerm(),
                Membership.decode(m.getMembership().toByteArray()),
                m.getOffset(),
                m.getTotalBytes(),
                m.getData().toByteArray(),
                m.getRound());
    }

    private static SnapshotAnswered toWire(ReplicaMessage.SnapshotReply m) {
        return SnapshotAnswered.newBuilder()
                .setTerm(m.term())
                .setIndex(m.index())
                .setNextOffset(m.nextOffset())
                .setInstalled(m.installed())
                .setRound(m.round())
                .build();
    }

    private static ReplicaMessage toCore(SnapshotAnswered m) {
        return new ReplicaMessage.SnapshotReply(
                m.getTerm(), m.getIndex(), m.getNextOffset(), m.getInstalled(), m.getRound());
    }
}
