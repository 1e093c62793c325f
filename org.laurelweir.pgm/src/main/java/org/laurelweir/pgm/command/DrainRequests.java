package org.laurelweir.pgm.command;

import com.github.rvesse.airline.annotations.AirlineModule;
import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.restrictions.Required;
import org.laurelweir.pgm.Console;
import org.laurelweir.pgm.PgmCommand;
import org.laurelweir.pgm.Texts;
import org.laurelweir.wire.v1.DrainReply;
import org.laurelweir.wire.v1.DrainRequest;

/** Sends an order to drain a backend server, or to end its drain, to control. */
final class DrainRequests {
    @AirlineModule private FleetOptions mFleet = new FleetOptions();

    @Option(name = "--author", title = "NAME", description = Texts.OPTION_AUTHOR)
    private String mAuthor = "";

    @Required
    @Arguments(title = "BACKEND", description = Texts.ARGUMENT_BACKEND)
    private String mBackend = "";

    /** The drain order that control recorded, printed as JSON. */
    record Recorded(String backend, boolean drain) {}

    int send(Console console, boolean drain, String text) {
        DrainRequest request =
                DrainRequest.newBuilder()
                        .setBackend(mBackend)
                        .setDrain(drain)
                        .setAuthor(mAuthor.isEmpty() ? console.user() : mAuthor)
                        .build();
        return mFleet.withFleet(
                console,
                f -> {
                    DrainReply reply = f.control().drain(request);
                    Replies.requireOk(reply.getCode(), reply.getMessage());
                    if (mFleet.isJson()) {
                        console.printJson(new Recorded(mBackend, drain));
                    } else {
                        console.print(String.format(text, mBackend));
                    }
                    return PgmCommand.SUCCESS;
                });
    }
}
