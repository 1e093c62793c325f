package org.laurelweir.pgm.command;

import com.github.rvesse.airline.annotations.AirlineModule;
import com.github.rvesse.airline.annotations.Command;
import org.laurelweir.pgm.Console;
import org.laurelweir.pgm.PgmCommand;
import org.laurelweir.pgm.Texts;

/** Drains a backend server: it finishes its work and takes no new work. */
@Command(name = "drain", description = Texts.DRAIN)
public final class Drain implements PgmCommand {
    @AirlineModule private DrainRequests mRequests = new DrainRequests();
    @AirlineModule private HelpFlag mHelp = new HelpFlag();

    @Override
    public int run(Console console) {
        return mRequests.send(console, true, Texts.DRAIN_ORDERED);
    }
}
