package org.laurelweir.control.storage;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;

/** Writes files, and makes what was written last. */
@FunctionalInterface
interface Disk {
    /** The operating system's sync, with the file's size. */
    Disk DEFAULT = channel -> channel.force(true);

    void sync(FileChannel channel) throws IOException;

    /**
     * Writes all of some bytes at the channel's position.
     *
     * @throws IOException if the disk refused, after any number of the bytes
     */
    default void write(FileChannel channel, ByteBuffer bytes) throws IOException {
        while (bytes.hasRemaining()) {
            channel.write(bytes);
        }
    }

    /**
     * Returns a disk that tells a failed sync from all other failures. A write that was refused may
     * be tried again; after a failed sync nobody knows what is on the disk.
     */
    default Disk tellingSyncFailures() {
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

    /** A sync that failed. */
    final class SyncFailure extends IOException {
        private static final long serialVersionUID = 1;

        private SyncFailure(IOException cause) {
            super("sync failed: " + cause.getMessage(), cause);
        }
    }
}
