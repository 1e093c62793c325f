package org.laurelweir.pgm.command;

import com.github.rvesse.airline.annotations.AirlineModule;
import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.restrictions.Required;
import org.laurelweir.pgm.Console;
import org.laurelweir.pgm.Texts;
import org.laurelweir.wire.v1.DrainRequest;

/** Sends an order to drain a backend server, or to end its drain, to control. */
final class DrainRequests {
    @AirlineModule private DrainOptions mOptions = new DrainOptions();

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
                        .setAuthor(mOptions.author(console))
                        .build();
        return mOptions.send(
                console,
                f -> f.control().drain(request),
                new Recorded(mBackend, drain),
                String.format(text, mBackend));
    }
}
