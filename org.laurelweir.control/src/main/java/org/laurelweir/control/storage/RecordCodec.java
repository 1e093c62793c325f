package org.laurelweir.control.storage;

import java.nio.ByteBuffer;
import java.util.zip.CRC32C;
import org.laurelweir.consensus.LogEntry;

/**
 * Encodes a log entry as a record of a segment: the length of the body, a CRC-32C over the length
 * and the body, then the body. The body holds the offset at which the record's batch starts, the
 * entry's index, term and kind, and the payload.
 */
final class RecordCodec {
    /** Size of the length and the checksum, which precede the body. */
    private static final int HEADER_BYTES = 8;

    /** Size of the body without the payload. */
    private static final int BODY_FIXED_BYTES = 25;

    private RecordCodec() {}

    /**
     * A decoded record.
     *
     * @param batchStart the offset in the segment at which the record's batch starts
     * @param end the offset just after the record
     */
    record Decoded(LogEntry entry, int batchStart, int end) {}

    static int sizeOf(LogEntry entry) {
        return HEADER_BYTES + BODY_FIXED_BYTES + entry.payload().length;
    }

    static void encode(LogEntry entry, int batchStart, ByteBuffer out) {
        int start = out.position();
        out.putInt(BODY_FIXED_BYTES + entry.payload().length);
        out.putInt(0);
        out.putLong(batchStart).putLong(entry.index()).putLong(entry.term());
        out.put((byte) entry.kind().number());
        out.put(entry.payload());
        out.putInt(start + 4, checksum(out.array(), start, out.position()));
    }

    /** Decodes the record at an offset. Returns null if there is no valid record. */
    static Decoded decode(byte[] segment, int offset) {
        if (segment.length - offset < HEADER_BYTES + BODY_FIXED_BYTES) {
            return null;
        }
        ByteBuffer in = ByteBuffer.wrap(segment).position(offset);
        int length = in.getInt();
        int checksum = in.getInt();
        if (length < BODY_FIXED_BYTES || length > in.remaining()) {
            return null;
        }
        int end = in.position() + length;
        if (checksum(segment, offset, end) != checksum) {
            return null;
        }
        int batchStart = (int) in.getLong();
        long index = in.getLong();
        long term = in.getLong();
        LogEntry.Kind kind = LogEntry.Kind.of(in.get());
        byte[] payload = new byte[end - in.position()];
        in.get(payload);
        return new Decoded(new LogEntry(index, term, kind, payload), batchStart, end);
    }

    private static int checksum(byte[] bytes, int start, int end) {
        CRC32C crc = new CRC32C();
        crc.update(bytes, start, 4);
        crc.update(bytes, start + HEADER_BYTES, end - start - HEADER_BYTES);
        return (int) crc.getValue();
    }
}
