package org.laurelweir.control.storage;

import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import org.laurelweir.consensus.Membership;
import org.laurelweir.consensus.Snapshot;
import org.laurelweir.errors.LaurelweirException;
import org.laurelweir.lib.ResultCode;

/** Encodes the content of the snapshot file. */
final class SnapshotCodec {
    /** Size of the content without the membership and the state. */
    private static final int FIXED_BYTES = 28;

    private SnapshotCodec() {}

    /**
     * A snapshot and the start of the log that follows it.
     *
     * @param firstSegment the first segment that belongs to the log; the snapshot covers or
     *     replaces all segments before it. It is stored with the snapshot so that one rename
     *     switches both
     */
    record Stored(Snapshot snapshot, long firstSegment) {}

    static byte[] encode(Stored stored) {
        Snapshot s = stored.snapshot();
        byte[] members = s.membership().encode();
        ByteBuffer out = ByteBuffer.allocate(FIXED_BYTES + members.length + s.state().length);
        out.putLong(stored.firstSegment()).putLong(s.index()).putLong(s.term());
        out.putInt(members.length).put(members).put(s.state());
        return out.array();
    }

    static Stored decode(byte[] content) {
        try {
            ByteBuffer in = ByteBuffer.wrap(content);
            long firstSegment = in.getLong();
            long index = in.getLong();
            long term = in.getLong();
            byte[] members = new byte[in.getInt()];
            in.get(members);
            byte[] state = new byte[in.remaining()];
            in.get(state);
            Membership membership = Membership.decode(members);
            return new Stored(new Snapshot(index, term, membership, state), firstSegment);
        } catch (BufferUnderflowException | IllegalArgumentException e) {
            throw new LaurelweirException(
                    ResultCode.SNAPSHOT_CORRUPT,
                    "the content of the snapshot file can't be decoded",
                    e);
        }
    }
}
