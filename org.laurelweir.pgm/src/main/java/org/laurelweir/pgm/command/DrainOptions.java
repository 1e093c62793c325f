package org.laurelweir.pgm.command;

import com.github.rvesse.airline.annotations.AirlineModule;
import com.github.rvesse.airline.annotations.Option;
import java.util.function.Function;
import org.laurelweir.pgm.Console;
import org.laurelweir.pgm.PgmCommand;
import org.laurelweir.pgm.Texts;
import org.laurelweir.pgm.fleet.FleetConnection;
import org.laurelweir.wire.v1.DrainReply;

/** The options that all orders to drain have, and the printing of what control recorded. */
final class DrainOptions {
    @AirlineModule private FleetOptions mFleet = new FleetOptions();

    @Option(name = "--author", title = "NAME", description = Texts.OPTION_AUTHOR)
    private String mAuthor = "";

    /** Returns the author of the order: the option, or the user. */
    String author(Console console) {
        return mAuthor.isEmpty() ? console.user() : mAuthor;
    }

    /**
     * Sends an order and prints it.
     *
     * @param order sends the order to control
     * @param recorded the order, to be printed as JSON
     * @param text the order, to be printed as text
     */
    int send(
            Console console,
            Function<FleetConnection, DrainReply> order,
            Record recorded,
            String text) {
        return mFleet.withFleet(
                console,
                f -> {
                    DrainReply reply = order.apply(f);
                    Replies.requireOk(reply.getCode(), reply.getMessage());
                    if (mFleet.isJson()) {
                        console.printJson(recorded);
                    } else {
                        console.print(text);
                    }
                    return PgmCommand.SUCCESS;
                });
    }
}
