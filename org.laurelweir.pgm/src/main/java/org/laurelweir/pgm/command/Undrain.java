package org.laurelweir.pgm.command;

import com.github.rvesse.airline.annotations.AirlineModule;
import com.github.rvesse.airline.annotations.Command;
import org.laurelweir.pgm.Console;
import org.laurelweir.pgm.PgmCommand;
import org.laurelweir.pgm.Texts;

/** Ends a backend server's drain: it takes work again. */
@Command(name = "undrain", description = Texts.UNDRAIN)
public final class Undrain implements PgmCommand {
    @AirlineModule private DrainRequests mRequests = new DrainRequests();
    @AirlineModule private HelpFlag mHelp = new HelpFlag();

    @Override
    public int run(Console console) {
        return mRequests.send(console, false, Texts.UNDRAIN_ORDERED);
    }
}
