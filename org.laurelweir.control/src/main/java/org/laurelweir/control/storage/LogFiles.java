package org.laurelweir.control.storage;

import java.nio.file.Path;
import org.laurelweir.lib.ResultCode;

/** The names of the files in a data folder. */
record LogFiles(Path folder, Syncer syncer) {
    WholeFile identity() {
        return new WholeFile(folder.resolve("identity"), ResultCode.LOG_CORRUPT, syncer);
    }

    WholeFile hardState() {
        return new WholeFile(folder.resolve("hard-state"), ResultCode.LOG_CORRUPT, syncer);
    }

    WholeFile snapshot() {
        return new WholeFile(folder.resolve("snapshot"), ResultCode.SNAPSHOT_CORRUPT, syncer);
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
