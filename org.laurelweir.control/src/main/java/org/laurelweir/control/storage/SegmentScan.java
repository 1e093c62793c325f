package org.laurelweir.control.storage;

import java.util.Arrays;
import java.util.function.Consumer;
import org.laurelweir.consensus.LogEntry;
import org.laurelweir.errors.LaurelweirException;
import org.laurelweir.lib.ResultCode;

/** Reads the records of one segment and classifies invalid bytes. */
final class SegmentScan {
    private final String mName;
    private final byte[] mBytes;

    SegmentScan(String name, byte[] bytes) {
        mName = name;
        mBytes = bytes;
    }

    /** Returns whether the segment starts with a valid header. */
    boolean hasHeader() {
        return mBytes.length >= Segment.HEADER.length
                && Arrays.equals(
                        mBytes, 0, Segment.HEADER.length, Segment.HEADER, 0, Segment.HEADER.length);
    }

    /**
     * Reads records from the start of the segment up to the first invalid one.
     *
     * @param entries receives the entries in order
     * @return the offset just after the last valid record
     */
    int readRecords(Consumer<LogEntry> entries) {
        int offset = Segment.HEADER.length;
        RecordCodec.Decoded record = RecordCodec.decode(mBytes, offset);
        while (record != null) {
            entries.accept(record.entry());
            offset = record.end();
            record = RecordCodec.decode(mBytes, offset);
        }
        return offset;
    }

    /** Returns whether an offset is the end of the segment. */
    boolean endsAt(int end) {
        return end == mBytes.length;
    }

    /**
     * Checks the bytes that follow the valid records of the newest segment. A write that a crash
     * interrupted leaves an invalid tail that was never acknowledged; the caller may remove it. Any
     * other invalid bytes were acknowledged. A replica that lost an acknowledged entry could form a
     * quorum that does not know the entry, so it must not start.
     *
     * <p>Either of two facts proves that the tail was acknowledged: it starts before the synced
     * end, or a valid record of a later batch follows, since a batch is written only after the
     * previous one is synced. Valid records of the same batch may follow, because the disk writes
     * blocks in any order.
     *
     * @param end the offset just after the valid records
     * @param syncedEnd all bytes before this offset are known to be synced
     * @throws LaurelweirException {@code LOG_CORRUPT} if the tail was acknowledged
     */
    void checkTailUnacknowledged(int end, long syncedEnd) {
        if (end < syncedEnd) {
            throw corrupt("a synced record is damaged or missing", end);
        }
        for (int i = end + 1; i < mBytes.length; i++) {
            RecordCodec.Decoded later = RecordCodec.decode(mBytes, i);
            if (later != null && later.batchStart() > end) {
                throw corrupt("a record is damaged before a valid one of a later batch", end);
            }
        }
    }

    LaurelweirException corrupt(String reason, long offset) {
        return new LaurelweirException(
                ResultCode.LOG_CORRUPT, mName + ": " + reason + ", at byte " + offset);
    }
}
