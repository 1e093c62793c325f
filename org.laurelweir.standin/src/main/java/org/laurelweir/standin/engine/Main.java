package org.laurelweir.standin.engine;

import com.github.rvesse.airline.HelpOption;
import com.github.rvesse.airline.SingleCommand;
import com.github.rvesse.airline.annotations.AirlineModule;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.parser.errors.ParseException;
import java.time.InstantSource;
import org.laurelweir.standin.StandinProgram;

/** Starts an engine from its settings file. */
@Command(name = "standin-engine", description = "A small model engine for tests and the demo")
public final class Main {
    @Option(name = "--settings", title = "FILE", description = "The YAML settings file")
    private String mSettings;

    @AirlineModule private HelpOption<Main> mHelp;

    /** Runs until the process is told to end; 2 on wrong use, 1 if it can't start. */
    public static void main(String[] args) {
        try {
            Main main = SingleCommand.singleCommand(Main.class).parse(args);
            System.exit(main.run());
        } catch (ParseException e) {
            System.err.println(e.getMessage());
            System.exit(StandinProgram.USAGE_STATUS);
        }
    }

    private int run() {
        if (mHelp.showHelpIfRequested()) {
            return 0;
        }
        return StandinProgram.run(
                mSettings, EngineSettings.class, s -> new EngineServer(s, InstantSource.system()));
    }
}
