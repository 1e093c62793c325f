package org.laurelweir.runtime.log;

import java.nio.file.Path;
import java.util.Optional;
import org.laurelweir.runtime.config.Default;

/**
 * How a program logs; the key {@code log} of its settings file.
 *
 * @param format how a line looks
 * @param level the least level that is written
 * @param console the stream to write to where there is no file
 * @param file the file to append to
 */
public record LogSettings(
        @Default("plain") Format format,
        @Default("info") Level level,
        @Default("stderr") Console console,
        Optional<Path> file) {
    /** Creates settings that write to standard error where there is no file. */
    public LogSettings(Format format, Level level, Optional<Path> file) {
        this(format, level, Console.STDERR, file);
    }

    /** The standard streams. */
    public enum Console {
        STDERR,
        STDOUT
    }

    /** How a line looks. */
    public enum Format {
        /** One JSON object a line. */
        JSON,
        /** Time, level, logger, message and fields, for people. */
        PLAIN
    }

    /** Levels from the least to the most urgent. */
    public enum Level {
        DEBUG,
        INFO,
        WARN,
        ERROR
    }

    /** Returns the settings of a program whose file says nothing about its log. */
    public static LogSettings defaults() {
        return new LogSettings(Format.PLAIN, Level.INFO, Optional.empty());
    }
}
