package org.laurelweir.control.storage;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.channels.OverlappingFileLockException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.List;
import java.util.function.LongSupplier;
import java.util.stream.Stream;
import org.laurelweir.errors.LaurelweirException;
import org.laurelweir.lib.ResultCode;

/** Locks a data folder for one process and knows the folder's storage id. */
final class DataFolder implements AutoCloseable {
    private final FileChannel mLock;
    private final long mStorageId;

    private DataFolder(FileChannel lock, long storageId) {
        mLock = lock;
        mStorageId = storageId;
    }

    /**
     * Locks a folder, creates it if it does not exist, and deletes temporary files that a crash
     * left.
     *
     * @param newStorageId generates an id for a new folder
     * @throws LaurelweirException {@code LOG_CORRUPT} if the folder holds a log without a storage
     *     id, {@code BAD_SETTINGS_FILE} if another process has locked the folder
     */
    static DataFolder open(LogFiles files, LongSupplier newStorageId) throws IOException {
        Files.createDirectories(files.folder());
        FileChannel lock = lock(files.lock());
        try {
            removeTemporaryFiles(files.folder());
            return new DataFolder(lock, storageId(files, newStorageId));
        } catch (IOException | RuntimeException e) {
            lock.close();
            throw e;
        }
    }

    private static FileChannel lock(Path path) throws IOException {
        FileChannel channel =
                FileChannel.open(path, StandardOpenOption.CREATE, StandardOpenOption.WRITE);
        try {
            if (channel.tryLock() != null) {
                return channel;
            }
        } catch (OverlappingFileLockException e) {
            channel.close();
            throw inUse(path);
        }
        channel.close();
        throw inUse(path);
    }

    private static LaurelweirException inUse(Path lock) {
        return new LaurelweirException(
                ResultCode.BAD_SETTINGS_FILE, lock.getParent() + " is in use by another process");
    }

    private static void removeTemporaryFiles(Path folder) throws IOException {
        try (Stream<Path> files = Files.list(folder)) {
            List<Path> temporary =
                    files.filter(f -> f.toString().endsWith(AtomicFile.TEMPORARY_SUFFIX)).toList();
            for (Path f : temporary) {
                Files.delete(f);
            }
        }
    }

    private static long storageId(LogFiles files, LongSupplier newStorageId) throws IOException {
        AtomicFile identity = files.identity();
        if (identity.exists()) {
            return ByteBuffer.wrap(identity.read()).getLong();
        }
        boolean hasLog = files.hardState().exists() || files.snapshot().exists();
        if (hasLog || !Segment.numbersIn(files.folder()).isEmpty()) {
            throw new LaurelweirException(
                    ResultCode.LOG_CORRUPT,
                    files.folder() + " holds a log, but its storage id is missing");
        }
        long id = newStorageId.getAsLong();
        identity.write(ByteBuffer.allocate(Long.BYTES).putLong(id).array());
        return id;
    }

    long storageId() {
        return mStorageId;
    }

    @Override
    public void close() throws IOException {
        mLock.close();
    }
}
