package org.laurelweir.control.storage;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import org.laurelweir.consensus.HardState;
import org.laurelweir.consensus.ReplicaId;

/**
 * The content of the term and vote's file: term, storage id of the vote, its name; or just term.
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
