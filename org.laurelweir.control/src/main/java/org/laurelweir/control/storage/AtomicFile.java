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
 * A file whose content is replaced atomically: the new content is written to a temporary file and
 * synced, the temporary file is renamed, and the folder is synced. Readers see the old content or
 * the new one, never a mixture.
 */
final class AtomicFile {
    /** Suffix of temporary files. A temporary file that a crash left can be deleted. */
    static final String TEMPORARY_SUFFIX = ".tmp";

    private static final int MAGIC = 0x4c575731;
    private static final int HEADER_BYTES = 8;

    private final Path mPath;
    private final ResultCode mCorruptCode;
    private final Disk mDisk;

    /**
     * Creates an accessor; the file need not exist.
     *
     * @param corruptCode the result code of the exception that {@link #read} throws for a damaged
     *     file
     */
    AtomicFile(Path path, ResultCode corruptCode, Disk disk) {
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
        Path temporary = mPath.resolveSibling(mPath.getFileName() + TEMPORARY_SUFFIX);
        try {
            writeTemporary(temporary, content);
        } catch (IOException e) {
            deleteTemporary(temporary, e);
            throw e;
        }
        Files.move(temporary, mPath, StandardCopyOption.ATOMIC_MOVE);
        syncFolder(mPath.getParent(), mDisk);
    }

    /**
     * Deletes an incomplete temporary file. On a full disk it would take the space that the log
     * itself needs.
     */
    private static void deleteTemporary(Path temporary, IOException cause) {
        try {
            Files.deleteIfExists(temporary);
        } catch (IOException e) {
            cause.addSuppressed(e);
        }
    }

    private void writeTemporary(Path temporary, byte[] content) throws IOException {
        ByteBuffer header = ByteBuffer.allocate(HEADER_BYTES);
        header.putInt(MAGIC).putInt(checksum(content)).flip();
        try (FileChannel channel =
                FileChannel.open(
                        temporary,
                        StandardOpenOption.CREATE,
                        StandardOpenOption.TRUNCATE_EXISTING,
                        StandardOpenOption.WRITE)) {
            mDisk.write(channel, header);
            mDisk.write(channel, ByteBuffer.wrap(content));
            mDisk.sync(channel);
        }
    }

    /**
     * Reads the content and verifies its checksum.
     *
     * @throws LaurelweirException with the code passed to the constructor if the file is damaged
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

    /**
     * Syncs a folder, so that the creation, renaming and deletion of files in it survive a power
     * loss.
     */
    static void syncFolder(Path folder, Disk disk) throws IOException {
        try (FileChannel channel = FileChannel.open(folder, StandardOpenOption.READ)) {
            disk.sync(channel);
        }
    }
}
