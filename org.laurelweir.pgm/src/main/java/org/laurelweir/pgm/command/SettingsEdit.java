package org.laurelweir.pgm.command;

import com.github.rvesse.airline.annotations.AirlineModule;
import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import org.laurelweir.errors.LaurelweirException;
import org.laurelweir.lib.ResultCode;
import org.laurelweir.pgm.Console;
import org.laurelweir.pgm.PgmCommand;
import org.laurelweir.pgm.Texts;

/**
 * Lists the edit command in the help. The launch script runs it as get, an editor and apply,
 * because the programs of laurelweir start no other process.
 */
@Command(name = "edit", description = Texts.EDIT)
public final class SettingsEdit implements PgmCommand {
    @AirlineModule private FleetOptions mFleet = new FleetOptions();
    @AirlineModule private SettingsChanger mChanger = new SettingsChanger();
    @AirlineModule private HelpFlag mHelp = new HelpFlag();

    @Arguments(title = "PATH", description = Texts.ARGUMENT_PATH_OR_ALL)
    private String mPath = "";

    @Override
    public int run(Console console) {
        throw new LaurelweirException(ResultCode.USAGE, Texts.EDIT_BY_SCRIPT);
    }
}
