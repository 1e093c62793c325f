package org.laurelweir.pgm;

import java.util.List;
import org.laurelweir.control.ControlFile;
import org.laurelweir.router.RouterFile;
import org.laurelweir.sidecar.SidecarFile;
import org.laurelweir.standin.engine.EngineSettings;
import org.laurelweir.standin.plain.PlainSettings;

/** The records that specify the programs' settings files. */
public final class SettingsFiles {
    /** One record type for each program that reads a settings file. */
    public static final List<Class<? extends Record>> SPECS =
            List.of(
                    ControlFile.class,
                    RouterFile.class,
                    SidecarFile.class,
                    EngineSettings.class,
                    PlainSettings.class);

    private SettingsFiles() {}
}
