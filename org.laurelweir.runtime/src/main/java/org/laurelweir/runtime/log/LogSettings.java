package org.laurelweir.runtime.log;

import java.nio.file.Path;
import java.util.Optional;
import org.laurelweir.runtime.config.Default;

/**
 * How a program logs; the key {@code log} of its settings file.
 *
 * @param format how a line looks
 * @param level the least level that is written
 * @param file the file to append to; standard error if absent
 */
public record LogSettings(
        @Default("plain") Format format, @Default("info") Level level, Optional<Path> file) {

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
