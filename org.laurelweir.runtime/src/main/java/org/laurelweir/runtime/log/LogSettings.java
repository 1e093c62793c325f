package org.laurelweir.runtime.log;

import java.nio.file.Path;
import java.util.Optional;
import org.laurelweir.runtime.config.Default;

/**
 * The logging settings of a program: the key {@code log} of its settings file.
 *
 * @param format format of a line
 * @param level lowest level that is written
 * @param console stream to write to if no file is set
 * @param file file to append to
 */
public record LogSettings(
        @Default("plain") Format format,
        @Default("info") Level level,
        @Default("stderr") Console console,
        Optional<Path> file) {
    /** Creates settings that write to standard error if no file is set. */
    public LogSettings(Format format, Level level, Optional<Path> file) {
        this(format, level, Console.STDERR, file);
    }

    /** The standard streams. */
    public enum Console {
        STDERR,
        STDOUT
    }

    /** The format of a line. */
    public enum Format {
        /** One JSON object per line. */
        JSON,
        /** Time, level, logger, message and fields as text for human readers. */
        PLAIN
    }

    /** The log levels, in ascending order of severity. */
    public enum Level {
        DEBUG,
        INFO,
        WARN,
        ERROR
    }

    /**
     * Returns the settings for a file without the key {@code log}: plain lines from level INFO on,
     * to standard error.
     */
    public static LogSettings defaults() {
        return new LogSettings(Format.PLAIN, Level.INFO, Optional.empty());
    }
}
