package org.laurelweir.control.storage;

import java.nio.file.Path;
import org.laurelweir.lib.ResultCode;

/** The names of the files in a data folder. */
record LogFiles(Path folder, Disk disk) {
    WholeFile identity() {
        return new WholeFile(folder.resolve("identity"), ResultCode.LOG_CORRUPT, disk);
    }

    WholeFile hardState() {
        return new WholeFile(folder.resolve("hard-state"), ResultCode.LOG_CORRUPT, disk);
    }

    WholeFile snapshot() {
        return new WholeFile(folder.resolve("snapshot"), ResultCode.SNAPSHOT_CORRUPT, disk);
    }

    Path syncMark() {
        return folder.resolve("sync-mark");
    }

    /** Holds the index up to which the log was known to be committed. */
    Path commitMark() {
        return folder.resolve("commit-mark");
    }

    Path lock() {
        return folder.resolve("lock");
    }
}
