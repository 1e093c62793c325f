package org.laurelweir.control.storage;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import org.laurelweir.consensus.HardState;
import org.laurelweir.consensus.ReplicaId;

/**
 * Encodes the content of the hard state file: the term, then the storage id and the name of the
 * replica that got the vote. Without a vote the file holds the term only.
 */
final class HardStateCodec {
    private HardStateCodec() {}

    static byte[] encode(HardState state) {
        ReplicaId vote = state.votedFor();
        if (vote == null) {
            return ByteBuffer.allocate(Long.BYTES).putLong(state.term()).array();
        }
        byte[] name = vote.name().getBytes(StandardCharsets.UTF_8);
        ByteBuffer out = ByteBuffer.allocate(2 * Long.BYTES + name.length);
        return out.putLong(state.term()).putLong(vote.storageId()).put(name).array();
    }

    static HardState decode(byte[] content) {
        ByteBuffer in = ByteBuffer.wrap(content);
        long term = in.getLong();
        if (!in.hasRemaining()) {
            return new HardState(term, null);
        }
        long storageId = in.getLong();
        String name = StandardCharsets.UTF_8.decode(in).toString();
        return new HardState(term, new ReplicaId(name, storageId));
    }
}
