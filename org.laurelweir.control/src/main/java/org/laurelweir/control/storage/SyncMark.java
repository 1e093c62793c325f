package org.laurelweir.control.storage;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.zip.CRC32C;

/**
 * A file that tells up to where the log has been synced. It is written after each sync and not
 * synced itself, which would double the cost of each batch. So it may lag behind after a loss of
 * power, and it survives the end of the process; it never runs ahead.
 */
final class SyncMark implements AutoCloseable {
    private static final int CONTENT_BYTES = 16;
    private static final int BYTES = CONTENT_BYTES + 8;

    /**
     * A place in the log.
     *
     * @param segment the segment's number
     * @param offset all before it is synced
     */
    record Position(long segment, long offset) {}

    private final FileChannel mChannel;

    SyncMark(Path path) throws IOException {
        mChannel = FileChannel.open(path, StandardOpenOption.CREATE, StandardOpenOption.WRITE);
    }

    /** Returns what the file says, or null if it is missing or damaged. */
    static Position read(Path path) throws IOException {
        if (!Files.exists(path)) {
            return null;
        }
        byte[] bytes = Files.readAllBytes(path);
        if (bytes.length != BYTES) {
            return null;
        }
        ByteBuffer in = ByteBuffer.wrap(bytes);
        Position position = new Position(in.getLong(), in.getLong());
        return in.getLong() == checksum(bytes) ? position : null;
    }

    void write(Position position) throws IOException {
        ByteBuffer out = ByteBuffer.allocate(BYTES);
        out.putLong(position.segment()).putLong(position.offset());
        out.putLong(checksum(out.array())).flip();
        mChannel.write(out, 0);
    }

    FileChannel channel() {
        return mChannel;
    }

    private static long checksum(byte[] bytes) {
        CRC32C crc = new CRC32C();
        crc.update(bytes, 0, CONTENT_BYTES);
        return crc.getValue();
    }

    @Override
    public void close() throws IOException {
        mChannel.close();
    }
}
