package org.laurelweir.standin;

import java.nio.file.Path;
import java.util.Optional;
import org.laurelweir.runtime.log.LogSettings;

/** The settings that every stand-in has. */
public interface StandinSettings {
    /** Returns the file to write the bound port to; empty to write none. */
    Optional<Path> portFile();

    /** Returns the settings of the log. */
    LogSettings log();
}
