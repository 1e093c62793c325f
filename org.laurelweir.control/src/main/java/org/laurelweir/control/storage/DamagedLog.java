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
 * Sets a log aside that does not read back, so that its instance begins anew with an empty one, as
 * after the loss of a disk. Refused at each start instead, the process would end again and again,
 * and take its processor from the router beside it, until an operator comes.
 *
 * <p>An empty log is another replica, with an id of its own: it votes and counts only once the
 * others have made it a voter. It must never help to found a second log, since what the damaged one
 * held may be on no other disk: {@link #isBeside} tells that there is one.
 */
final class DamagedLog {
    private static final FluentLogger sLogger = FluentLogger.forEnclosingClass();

    /** The folder in the data folder that holds the newest log that was set aside. */
    private static final String ASIDE = "damaged";

    private DamagedLog() {}

    /** Returns whether a failure to open a log says that it is damaged. */
    static boolean isDamage(LaurelweirException failure) {
        ResultCode code = failure.getCode();
        return code == ResultCode.LOG_CORRUPT || code == ResultCode.SNAPSHOT_CORRUPT;
    }

    /** Returns whether a data folder holds a log that was set aside. */
    static boolean isBeside(Path folder) {
        return Files.exists(folder.resolve(ASIDE));
    }

    /**
     * Moves a log into the folder for damaged ones, in place of one that is there.
     *
     * @throws IOException if the disk failed; the rest is moved by the next try
     */
    static void setAside(LogFiles files, LaurelweirException damage) throws IOException {
        Path folder = files.folder();
        Path aside = folder.resolve(ASIDE);
        Files.createDirectories(aside);
        WholeFile identity = files.identity();
        if (identity.exists()) {
            removeAll(aside);
            // First and for good: a log without its votes must not go by the id that gave them.
            move(identity.path(), aside);
            WholeFile.syncFolder(folder, files.disk());
        }
        for (Path file : logFiles(files)) {
            move(file, aside);
        }
        WholeFile.syncFolder(aside, files.disk());
        WholeFile.syncFolder(folder, files.disk());
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

    /** Returns all that is there of a log but its id and the lock, which its process holds. */
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
