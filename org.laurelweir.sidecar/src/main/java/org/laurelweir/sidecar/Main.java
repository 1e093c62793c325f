package org.laurelweir.sidecar;

import java.nio.file.Path;
import java.time.InstantSource;
import org.laurelweir.errors.LaurelweirException;
import org.laurelweir.lib.ResultCode;
import org.laurelweir.runtime.config.SettingsFile;
import org.laurelweir.runtime.process.Program;

/** Starts a sidecar: {@code laurelweir-sidecar --settings FILE}. */
public final class Main {
    private static final String NAME = "laurelweir-sidecar";
    private static final String SETTINGS = "--settings";

    private Main() {}

    /** Runs until SIGTERM or SIGINT. */
    public static void main(String[] args) {
        Program.run(NAME, () -> create(args));
    }

    private static SidecarProgram create(String[] args) {
        if (args.length != 2 || !args[0].equals(SETTINGS)) {
            throw new LaurelweirException(
                    ResultCode.USAGE, "usage: " + NAME + " " + SETTINGS + " FILE");
        }
        SidecarFile file = SettingsFile.read(SidecarFile.class, Path.of(args[1]));
        return new SidecarProgram(file, InstantSource.system(), System.out::println);
    }
}
