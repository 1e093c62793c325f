package org.laurelweir.pgm.command;

import com.github.rvesse.airline.annotations.AirlineModule;
import com.github.rvesse.airline.annotations.Command;
import org.laurelweir.pgm.Console;
import org.laurelweir.pgm.PgmCommand;
import org.laurelweir.pgm.Texts;
import org.laurelweir.pgm.fleet.FleetConnection;
import org.laurelweir.pgm.fleet.FleetView;

/** Shows the status of the fleet. */
@Command(name = "status", description = Texts.STATUS)
public final class Status implements PgmCommand {
    @AirlineModule private FleetOptions mFleet = new FleetOptions();
    @AirlineModule private HelpFlag mHelp = new HelpFlag();

    @Override
    public int run(Console console) {
        return mFleet.withFleet(console, f -> show(f, console));
    }

    private int show(FleetConnection fleet, Console console) {
        FleetView view = FleetView.of(fleet.control().status());
        if (mFleet.isJson()) {
            console.printJson(view);
        } else {
            console.print(view.lines());
        }
        return SUCCESS;
    }
}
