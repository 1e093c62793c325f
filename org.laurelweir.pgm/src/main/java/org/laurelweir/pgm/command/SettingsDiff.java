package org.laurelweir.pgm.command;

import com.github.rvesse.airline.annotations.AirlineModule;
import com.github.rvesse.airline.annotations.Command;
import java.util.List;
import org.laurelweir.pgm.Console;
import org.laurelweir.pgm.PgmCommand;
import org.laurelweir.pgm.Texts;
import org.laurelweir.pgm.fleet.FleetConnection;
import org.laurelweir.pgm.tree.NodeDifference;

/** Shows the changes that applying a file would make. */
@Command(name = "diff", description = Texts.DIFF)
public final class SettingsDiff implements PgmCommand {
    @AirlineModule private FleetOptions mFleet = new FleetOptions();
    @AirlineModule private SettingsFileOptions mFile = new SettingsFileOptions();
    @AirlineModule private HelpFlag mHelp = new HelpFlag();

    /** The differences, printed as JSON. */
    record Differences(List<NodeDifference> nodes) {}

    @Override
    public int run(Console console) {
        return mFleet.withFleet(console, f -> show(f, console));
    }

    private int show(FleetConnection fleet, Console console) {
        List<NodeDifference> differences = mFile.compare(fleet.control());
        if (mFleet.isJson()) {
            console.printJson(new Differences(differences));
        } else {
            differences.forEach(d -> console.print(d.lines()));
        }
        return differences.isEmpty() ? SUCCESS : NEGATIVE;
    }
}
