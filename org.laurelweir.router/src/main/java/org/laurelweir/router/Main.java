package org.laurelweir.router;

import java.nio.file.Path;
import java.time.InstantSource;
import org.laurelweir.errors.LaurelweirException;
import org.laurelweir.lib.ResultCode;
import org.laurelweir.runtime.config.SettingsFile;
import org.laurelweir.runtime.process.Program;

/** Starts a router: {@code laurelweir-router --settings FILE}. */
public final class Main {
    private static final String NAME = "laurelweir-router";
    private static final String SETTINGS = "--settings";

    private Main() {}

    /** Runs until SIGTERM or SIGINT. */
    public static void main(String[] args) {
        Program.run(NAME, () -> create(args));
    }

    private static RouterProgram create(String[] args) {
        if (args.length != 2 || !args[0].equals(SETTINGS)) {
            throw new LaurelweirException(
                    ResultCode.USAGE, "usage: " + NAME + " " + SETTINGS + " FILE");
        }
        RouterFile file = SettingsFile.read(RouterFile.class, Path.of(args[1]));
        return new RouterProgram(file, InstantSource.system(), System.out::println);
    }
}
