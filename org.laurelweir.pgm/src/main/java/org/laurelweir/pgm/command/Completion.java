package org.laurelweir.pgm.command;

import com.github.rvesse.airline.annotations.AirlineModule;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.help.cli.bash.BashCompletionGenerator;
import com.github.rvesse.airline.model.GlobalMetadata;
import java.io.IOException;
import org.laurelweir.errors.LaurelweirException;
import org.laurelweir.lib.ResultCode;
import org.laurelweir.pgm.Console;
import org.laurelweir.pgm.PgmCommand;
import org.laurelweir.pgm.Texts;

/** Prints a script that completes this command line in bash. */
@Command(name = "completion", description = Texts.COMPLETION)
public final class Completion implements PgmCommand {
    @AirlineModule private HelpFlag mHelp = new HelpFlag();
    @AirlineModule private GlobalMetadata<PgmCommand> mCommands;

    @Override
    public int run(Console console) {
        try {
            new BashCompletionGenerator<PgmCommand>(false, false).usage(mCommands, console.out());
            return SUCCESS;
        } catch (IOException e) {
            throw new LaurelweirException(ResultCode.INTERNAL, e.getMessage(), e);
        }
    }
}
