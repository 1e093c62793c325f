package org.laurelweir.standin;

import java.nio.file.Path;
import java.util.Optional;
import org.laurelweir.runtime.config.Default;
import org.laurelweir.runtime.config.Range;

/**
 * How a stand-in records its runs.
 *
 * @param keep the number of newest runs that memory holds
 * @param file the file to which each start and end is appended
 */
public record ExecutionSettings(
        @Default("20000") @Range(min = "1", max = "1000000") int keep, Optional<Path> file) {
    /** The defaults of the settings file. */
    public static final ExecutionSettings DEFAULT = new ExecutionSettings(20_000, Optional.empty());
}
