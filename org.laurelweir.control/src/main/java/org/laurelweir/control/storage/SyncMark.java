package org.laurelweir.control.storage;

import java.io.IOException;
import java.nio.channels.FileChannel;
import java.nio.file.Path;

/**
 * A file that records the position up to which the log is synced. It is written after each sync of
 * the log and is not synced itself, since that would double the cost of each batch. It survives the
 * end of the process. After a power loss it may lag behind the log; it is never ahead of it.
 */
final class SyncMark implements AutoCloseable {
    private static final int VALUE_COUNT = 2;

    /**
     * A position in the log.
     *
     * @param segment the segment's number
     * @param offset all bytes of the segment before this offset are synced
     */
    record Position(long segment, long offset) {}

    private final MarkFile mFile;

    SyncMark(Path path) throws IOException {
        mFile = new MarkFile(path);
    }

    /** Returns the recorded position, or null if the file is missing or damaged. */
    static Position read(Path path) throws IOException {
        long[] values = MarkFile.read(path, VALUE_COUNT);
        return values == null ? null : new Position(values[0], values[1]);
    }

    void write(Position position) throws IOException {
        mFile.write(position.segment(), position.offset());
    }

    FileChannel channel() {
        return mFile.channel();
    }

    @Override
    public void close() throws IOException {
        mFile.close();
    }
}
