package org.laurelweir.control.storage;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;

/** Writes files and syncs them. Tests replace it to make writes and syncs fail. */
@FunctionalInterface
interface Disk {
    /** Syncs a file's data and metadata through the operating system. */
    Disk DEFAULT = channel -> channel.force(true);

    void sync(FileChannel channel) throws IOException;

    /**
     * Writes all bytes of a buffer at the channel's position.
     *
     * @throws IOException if the disk rejects the write; any number of the bytes may have been
     *     written
     */
    default void write(FileChannel channel, ByteBuffer bytes) throws IOException {
        while (bytes.hasRemaining()) {
            channel.write(bytes);
        }
    }

    /**
     * Returns a disk that reports a failed sync as {@link SyncFailure}. A failed write may be
     * retried; after a failed sync the content of the disk is unknown.
     */
    default Disk wrappingSyncFailures() {
        Disk disk = this;
        return new Disk() {
            @Override
            public void sync(FileChannel channel) throws IOException {
                try {
                    disk.sync(channel);
                } catch (IOException e) {
                    throw new SyncFailure(e);
                }
            }

            @Override
            public void write(FileChannel channel, ByteBuffer bytes) throws IOException {
                disk.write(channel, bytes);
            }
        };
    }

    /** Reports a failed sync, after which the content of the disk is unknown. */
    final class SyncFailure extends IOException {
        private static final long serialVersionUID = 1;

        private SyncFailure(IOException cause) {
            super("sync failed: " + cause.getMessage(), cause);
        }
    }
}
