package org.laurelweir.control.storage;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.zip.CRC32C;

/**
 * A file of a few numbers that are overwritten in place, with a checksum. It is written without a
 * sync: it survives the end of the process, but after a power loss it may be outdated or damaged.
 */
final class MarkFile implements AutoCloseable {
    private final FileChannel mChannel;

    MarkFile(Path path) throws IOException {
        mChannel = FileChannel.open(path, StandardOpenOption.CREATE, StandardOpenOption.WRITE);
    }

    /**
     * Returns the numbers in a file, or null if the file is missing or damaged.
     *
     * @param count how many numbers the file holds
     */
    static long[] read(Path path, int count) throws IOException {
        if (!Files.exists(path)) {
            return null;
        }
        byte[] bytes = Files.readAllBytes(path);
        if (bytes.length != (count + 1) * Long.BYTES) {
            return null;
        }
        ByteBuffer in = ByteBuffer.wrap(bytes);
        long[] values = new long[count];
        for (int i = 0; i < count; i++) {
            values[i] = in.getLong();
        }
        return in.getLong() == checksum(bytes, count) ? values : null;
    }

    void write(long... values) throws IOException {
        ByteBuffer out = ByteBuffer.allocate((values.length + 1) * Long.BYTES);
        for (long value : values) {
            out.putLong(value);
        }
        out.putLong(checksum(out.array(), values.length)).flip();
        mChannel.write(out, 0);
    }

    FileChannel channel() {
        return mChannel;
    }

    private static long checksum(byte[] bytes, int count) {
        CRC32C crc = new CRC32C();
        crc.update(bytes, 0, count * Long.BYTES);
        return crc.getValue();
    }

    @Override
    public void close() throws IOException {
        mChannel.close();
    }
}
