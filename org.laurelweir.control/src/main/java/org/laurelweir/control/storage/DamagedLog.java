package org.laurelweir.control.storage;

import com.google.common.flogger.FluentLogger;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;
import org.laurelweir.errors.LaurelweirException;
import org.laurelweir.lib.ResultCode;

/**
 * Sets a damaged log aside, so that its instance starts with an empty log, as after the loss of a
 * disk. If the instance rejected the log at each start instead, the process would end and restart
 * until an operator intervenes, and take processor time from the router on the same instance.
 *
 * <p>An empty log belongs to another replica with its own id: the replica votes and counts towards
 * a quorum only after the other replicas have made it a voter. It must never help to bootstrap a
 * second log, since the entries of the damaged log may be on no other disk. {@link #existsIn} tells
 * that there is a damaged log.
 */
final class DamagedLog {
    private static final FluentLogger sLogger = FluentLogger.forEnclosingClass();

    /** Name of the subfolder that holds the most recent damaged log. */
    private static final String FOLDER_NAME = "damaged";

    private DamagedLog() {}

    /** Returns whether a failure to open a log means that the log is damaged. */
    static boolean isDamage(LaurelweirException failure) {
        ResultCode code = failure.getCode();
        return code == ResultCode.LOG_CORRUPT || code == ResultCode.SNAPSHOT_CORRUPT;
    }

    /** Returns whether a data folder holds a damaged log that was set aside. */
    static boolean existsIn(Path folder) {
        return Files.exists(folder.resolve(FOLDER_NAME));
    }

    /**
     * Moves a log into the subfolder for damaged logs, and replaces a log that is there.
     *
     * @throws IOException if the disk fails; the next attempt moves the remaining files
     */
    static void setAside(LogFiles files, LaurelweirException damage) throws IOException {
        Path folder = files.folder();
        Path aside = folder.resolve(FOLDER_NAME);
        Files.createDirectories(aside);
        AtomicFile identity = files.identity();
        if (identity.exists()) {
            removeAll(aside);
            // The identity moves first and is synced: a log that has lost its votes must not be
            // used under the storage id that cast them.
            move(identity.path(), aside);
            AtomicFile.syncFolder(folder, files.disk());
        }
        for (Path file : logFiles(files)) {
            move(file, aside);
        }
        AtomicFile.syncFolder(aside, files.disk());
        AtomicFile.syncFolder(folder, files.disk());
        sLogger.atSevere().log(
                "the log is damaged and was moved to %s; this instance begins anew, without a vote"
                        + " until the others give it one: %s",
                aside, damage);
    }

    private static void removeAll(Path folder) throws IOException {
        for (Path file : list(folder)) {
            Files.delete(file);
        }
    }

    private static void move(Path file, Path folder) throws IOException {
        Files.move(file, folder.resolve(file.getFileName()), StandardCopyOption.REPLACE_EXISTING);
    }

    /**
     * Returns the remaining files of a log: all but the identity, which has been moved, and the
     * lock, which this process holds.
     */
    private static List<Path> logFiles(LogFiles files) throws IOException {
        List<Path> found = new ArrayList<>();
        for (Path file : list(files.folder())) {
            if (Files.isRegularFile(file) && !file.equals(files.lock())) {
                found.add(file);
            }
        }
        return found;
    }

    private static List<Path> list(Path folder) throws IOException {
        try (Stream<Path> files = Files.list(folder)) {
            return files.sorted().toList();
        }
    }
}
