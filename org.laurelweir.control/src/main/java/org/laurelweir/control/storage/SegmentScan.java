package org.laurelweir.control.storage;

import java.util.Arrays;
import java.util.function.Consumer;
import org.laurelweir.consensus.LogEntry;
import org.laurelweir.errors.LaurelweirException;
import org.laurelweir.lib.ResultCode;

/** Reads one segment's records and judges what is not valid. */
final class SegmentScan {
    private final String mName;
    private final byte[] mBytes;

    SegmentScan(String name, byte[] bytes) {
        mName = name;
        mBytes = bytes;
    }

    /** Returns whether the segment begins as it should. */
    boolean hasHeader() {
        return mBytes.length >= Segment.HEADER.length
                && Arrays.equals(
                        mBytes, 0, Segment.HEADER.length, Segment.HEADER, 0, Segment.HEADER.length);
    }

    /**
     * Reads the valid records from the start on.
     *
     * @return the offset just after them
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

    boolean isWhole(int end) {
        return end == mBytes.length;
    }

    /**
     * Judges what follows the valid records of the newest segment. A write cut short by a crash
     * leaves an invalid end that nobody was told of; it may go. Anything else that is invalid was
     * acknowledged, and a replica without it could help a quorum to forget it; so the replica must
     * not start. Two signs tell that it was acknowledged: it lies before the mark of what was
     * synced, or a valid record of a later batch follows, since a batch begins only after the sync
     * of the one before. Records of the same batch may follow: the disk writes blocks in any order.
     *
     * @param end the offset just after the valid records
     * @param syncedEnd all before it is known synced
     * @throws LaurelweirException {@code LOG_CORRUPT} if the end was acknowledged
     */
    void assertNeverAcknowledged(int end, long syncedEnd) {
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

    LaurelweirException corrupt(String what, long offset) {
        return new LaurelweirException(
                ResultCode.LOG_CORRUPT, mName + ": " + what + ", at byte " + offset);
    }
}
