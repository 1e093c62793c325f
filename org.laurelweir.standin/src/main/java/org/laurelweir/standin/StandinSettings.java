package org.laurelweir.standin;

import java.nio.file.Path;
import java.util.Optional;
import org.laurelweir.runtime.log.LogSettings;

/** What the settings files of all stand-ins hold. */
public interface StandinSettings {
    /** Returns the file that receives the bound port. */
    Optional<Path> portFile();

    /** Returns how to log. */
    LogSettings log();
}
