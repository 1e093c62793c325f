package org.laurelweir.pgm.command;

import com.github.rvesse.airline.annotations.AirlineModule;
import com.github.rvesse.airline.annotations.Command;
import org.laurelweir.pgm.Console;
import org.laurelweir.pgm.PgmCommand;
import org.laurelweir.pgm.Texts;

/** Ends a data centre's drain: its backend servers get new requests again. */
@Command(name = "undrain", description = Texts.DATA_CENTRE_UNDRAIN)
public final class DataCentreUndrain implements PgmCommand {
    @AirlineModule private DataCentreOrder mOrder = new DataCentreOrder();
    @AirlineModule private HelpFlag mHelp = new HelpFlag();

    @Override
    public int run(Console console) {
        return mOrder.send(console, false, Texts.DATA_CENTRE_UNDRAINED);
    }
}
