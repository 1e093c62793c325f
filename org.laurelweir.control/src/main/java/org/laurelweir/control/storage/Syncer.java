package org.laurelweir.control.storage;

import java.io.IOException;
import java.nio.channels.FileChannel;

/** Makes what was written to a file last. */
@FunctionalInterface
interface Syncer {
    /** The operating system's sync, with the file's size. */
    Syncer DEFAULT = channel -> channel.force(true);

    void sync(FileChannel channel) throws IOException;
}
