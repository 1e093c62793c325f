package org.laurelweir.pgm.command;

import com.github.rvesse.airline.annotations.AirlineModule;
import com.github.rvesse.airline.annotations.Command;
import java.util.List;
import org.laurelweir.pgm.Console;
import org.laurelweir.pgm.PgmCommand;
import org.laurelweir.pgm.Texts;
import org.laurelweir.pgm.fleet.FleetView;

/** Lists the drained data centres. */
@Command(name = "list", description = Texts.DATA_CENTRE_LIST)
public final class DataCentreList implements PgmCommand {
    @AirlineModule private FleetOptions mFleet = new FleetOptions();
    @AirlineModule private HelpFlag mHelp = new HelpFlag();

    /** The drained data centres, printed as JSON. */
    record Listed(List<?> drainedDataCentres) {}

    @Override
    public int run(Console console) {
        return mFleet.withFleet(
                console,
                f -> {
                    FleetView view = FleetView.of(f.control().status());
                    if (mFleet.isJson()) {
                        console.printJson(new Listed(view.drainedDataCentres()));
                    } else {
                        console.print(view.drainedDataCentreTable().lines());
                    }
                    return SUCCESS;
                });
    }
}
