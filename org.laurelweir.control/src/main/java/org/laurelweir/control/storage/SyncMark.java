package org.laurelweir.control.storage;

import java.io.IOException;
import java.nio.channels.FileChannel;
import java.nio.file.Path;

/**
 * A file that tells up to where the log has been synced. It is written after each sync and not
 * synced itself, which would double the cost of each batch. So it may lag behind after a loss of
 * power, and it survives the end of the process; it never runs ahead.
 */
final class SyncMark implements AutoCloseable {
    private static final int NUMBERS = 2;

    /**
     * A place in the log.
     *
     * @param segment the segment's number
     * @param offset all before it is synced
     */
    record Position(long segment, long offset) {}

    private final MarkFile mFile;

    SyncMark(Path path) throws IOException {
        mFile = new MarkFile(path);
    }

    /** Returns what the file says, or null if it is missing or damaged. */
    static Position read(Path path) throws IOException {
        long[] values = MarkFile.read(path, NUMBERS);
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
