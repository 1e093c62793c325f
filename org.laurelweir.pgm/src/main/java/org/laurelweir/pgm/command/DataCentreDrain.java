package org.laurelweir.pgm.command;

import com.github.rvesse.airline.annotations.AirlineModule;
import com.github.rvesse.airline.annotations.Command;
import org.laurelweir.pgm.Console;
import org.laurelweir.pgm.PgmCommand;
import org.laurelweir.pgm.Texts;

/** Drains a data centre: its backend servers finish their requests and get no new ones. */
@Command(name = "drain", description = Texts.DATA_CENTRE_DRAIN)
public final class DataCentreDrain implements PgmCommand {
    @AirlineModule private DataCentreOrder mOrder = new DataCentreOrder();
    @AirlineModule private HelpFlag mHelp = new HelpFlag();

    @Override
    public int run(Console console) {
        return mOrder.send(console, true, Texts.DATA_CENTRE_DRAINED);
    }
}
