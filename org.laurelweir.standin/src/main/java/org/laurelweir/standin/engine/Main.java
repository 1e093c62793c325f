package org.laurelweir.standin.engine;

import com.github.rvesse.airline.HelpOption;
import com.github.rvesse.airline.SingleCommand;
import com.github.rvesse.airline.annotations.AirlineModule;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.parser.errors.ParseException;
import java.time.InstantSource;
import org.laurelweir.lib.ResultCode;
import org.laurelweir.runtime.process.Program;
import org.laurelweir.standin.StandinProgram;

/** Starts an engine from its settings file. */
@Command(name = Main.NAME, description = "A small model engine for tests and the demo")
public final class Main {
    static final String NAME = "standin-engine";

    @Option(name = "--settings", title = "FILE", description = "The YAML settings file")
    private String mSettings;

    @AirlineModule private HelpOption<Main> mHelp;

    /** Runs until the process receives SIGTERM. */
    public static void main(String[] args) {
        try {
            SingleCommand.singleCommand(Main.class).parse(args).run();
        } catch (ParseException e) {
            System.err.println(NAME + ": " + e.getMessage());
            System.exit(Program.exitCode(ResultCode.USAGE));
        }
    }

    private void run() {
        if (mHelp.showHelpIfRequested()) {
            return;
        }
        StandinProgram.run(
                NAME,
                mSettings,
                EngineSettings.class,
                s -> new EngineServer(s, InstantSource.system()));
    }
}
