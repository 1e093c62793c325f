package org.laurelweir.control.storage;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.zip.CRC32C;
import org.laurelweir.errors.LaurelweirException;
import org.laurelweir.lib.ResultCode;

/**
 * A file that is replaced as a whole: written aside, synced, renamed, and the folder synced.
 * Readers see the old content or the new, never a mixture.
 */
final class WholeFile {
    /** The end of the name of a file written aside; one left by a crash is of no use. */
    static final String ASIDE = ".tmp";

    private static final int MAGIC = 0x4c575731;
    private static final int HEADER_BYTES = 8;

    private final Path mPath;
    private final ResultCode mCorruptCode;
    private final Disk mDisk;

    /**
     * Creates an accessor.
     *
     * @param corruptCode the code under which damage is reported
     */
    WholeFile(Path path, ResultCode corruptCode, Disk disk) {
        mPath = path;
        mCorruptCode = corruptCode;
        mDisk = disk;
    }

    Path path() {
        return mPath;
    }

    boolean exists() {
        return Files.exists(mPath);
    }

    void write(byte[] content) throws IOException {
        Path aside = mPath.resolveSibling(mPath.getFileName() + ASIDE);
        try {
            writeAside(aside, content);
        } catch (IOException e) {
            discard(aside, e);
            throw e;
        }
        Files.move(aside, mPath, StandardCopyOption.ATOMIC_MOVE);
        syncFolder(mPath.getParent(), mDisk);
    }

    /** On a full disk what was written so far would take the room of the log itself. */
    private static void discard(Path aside, IOException cause) {
        try {
            Files.deleteIfExists(aside);
        } catch (IOException e) {
            cause.addSuppressed(e);
        }
    }

    private void writeAside(Path aside, byte[] content) throws IOException {
        ByteBuffer header = ByteBuffer.allocate(HEADER_BYTES);
        header.putInt(MAGIC).putInt(checksum(content)).flip();
        try (FileChannel channel =
                FileChannel.open(
                        aside,
                        StandardOpenOption.CREATE,
                        StandardOpenOption.TRUNCATE_EXISTING,
                        StandardOpenOption.WRITE)) {
            mDisk.write(channel, header);
            mDisk.write(channel, ByteBuffer.wrap(content));
            mDisk.sync(channel);
        }
    }

    /**
     * Reads the content.
     *
     * @throws LaurelweirException with the code given at construction, if the file is damaged
     */
    byte[] read() throws IOException {
        ByteBuffer file = ByteBuffer.wrap(Files.readAllBytes(mPath));
        if (file.remaining() < HEADER_BYTES || file.getInt() != MAGIC) {
            throw new LaurelweirException(mCorruptCode, mPath + " has no valid header");
        }
        int checksum = file.getInt();
        byte[] content = new byte[file.remaining()];
        file.get(content);
        if (checksum(content) != checksum) {
            throw new LaurelweirException(mCorruptCode, mPath + " fails its checksum");
        }
        return content;
    }

    private static int checksum(byte[] content) {
        CRC32C crc = new CRC32C();
        crc.update(content);
        return (int) crc.getValue();
    }

    /** Makes the creation, renaming and removal of files in a folder last. */
    static void syncFolder(Path folder, Disk disk) throws IOException {
        try (FileChannel channel = FileChannel.open(folder, StandardOpenOption.READ)) {
            disk.sync(channel);
        }
    }
}
