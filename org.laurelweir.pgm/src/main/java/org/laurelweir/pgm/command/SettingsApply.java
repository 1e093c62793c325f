package org.laurelweir.pgm.command;

import com.github.rvesse.airline.annotations.AirlineModule;
import com.github.rvesse.airline.annotations.Command;
import java.util.List;
import org.laurelweir.pgm.Console;
import org.laurelweir.pgm.PgmCommand;
import org.laurelweir.pgm.Texts;
import org.laurelweir.pgm.fleet.FleetConnection;
import org.laurelweir.pgm.tree.NodeDifference;
import org.laurelweir.wire.v1.NodeChange;

/** Changes the settings tree to match a file; either all changes are accepted or none. */
@Command(name = "apply", description = Texts.APPLY)
public final class SettingsApply implements PgmCommand {
    @AirlineModule private FleetOptions mFleet = new FleetOptions();
    @AirlineModule private SettingsChanger mChanger = new SettingsChanger();
    @AirlineModule private SettingsFileOptions mFile = new SettingsFileOptions();
    @AirlineModule private HelpFlag mHelp = new HelpFlag();

    @Override
    public int run(Console console) {
        return mFleet.withFleet(console, f -> apply(f, console));
    }

    private int apply(FleetConnection fleet, Console console) {
        List<NodeChange> changes =
                mFile.compare(fleet.control()).stream().map(NodeDifference::toChange).toList();
        if (changes.isEmpty()) {
            console.printMessage(Texts.NO_CHANGE);
            return SUCCESS;
        }
        return mChanger.change(fleet.control(), changes, console, mFleet.isJson());
    }
}
