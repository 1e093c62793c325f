package org.laurelweir.control.storage;

import java.nio.file.Path;
import org.laurelweir.lib.ResultCode;

/** Names the files in a data folder. */
record LogFiles(Path folder, Disk disk) {
    AtomicFile identity() {
        return new AtomicFile(folder.resolve("identity"), ResultCode.LOG_CORRUPT, disk);
    }

    AtomicFile hardState() {
        return new AtomicFile(folder.resolve("hard-state"), ResultCode.LOG_CORRUPT, disk);
    }

    AtomicFile snapshot() {
        return new AtomicFile(folder.resolve("snapshot"), ResultCode.SNAPSHOT_CORRUPT, disk);
    }

    Path syncMark() {
        return folder.resolve("sync-mark");
    }

    /**
     * Returns the path of the file that holds the index up to which the log was known to be
     * committed.
     */
    Path commitMark() {
        return folder.resolve("commit-mark");
    }

    Path lock() {
        return folder.resolve("lock");
    }
}
