package org.laurelweir.control;

import java.nio.file.Path;
import java.time.InstantSource;
import org.laurelweir.errors.LaurelweirException;
import org.laurelweir.lib.ResultCode;
import org.laurelweir.runtime.config.SettingsFile;
import org.laurelweir.runtime.process.Program;

/** Starts a control instance: {@code laurelweir-control --settings FILE}. */
public final class Main {
    private static final String NAME = "laurelweir-control";
    private static final String SETTINGS = "--settings";

    private Main() {}

    /** Runs a control instance until SIGTERM or SIGINT. */
    public static void main(String[] args) {
        Program.run(NAME, () -> create(args));
    }

    private static ControlProgram create(String[] args) {
        if (args.length != 2 || !args[0].equals(SETTINGS)) {
            throw new LaurelweirException(
                    ResultCode.USAGE, "usage: " + NAME + " " + SETTINGS + " FILE");
        }
        ControlFile file = SettingsFile.read(ControlFile.class, Path.of(args[1]));
        return new ControlProgram(file, InstantSource.system(), System.out::println);
    }
}
