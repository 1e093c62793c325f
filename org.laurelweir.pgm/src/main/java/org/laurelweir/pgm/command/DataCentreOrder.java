package org.laurelweir.pgm.command;

import com.github.rvesse.airline.annotations.AirlineModule;
import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.restrictions.Required;
import org.laurelweir.pgm.Console;
import org.laurelweir.pgm.PgmCommand;
import org.laurelweir.pgm.Texts;
import org.laurelweir.wire.v1.DrainDataCentreRequest;
import org.laurelweir.wire.v1.DrainReply;

/** Sends an order to drain a data centre, or to end its drain, to control. */
final class DataCentreOrder {
    @AirlineModule private FleetOptions mFleet = new FleetOptions();

    @Option(name = "--author", title = "NAME", description = Texts.OPTION_AUTHOR)
    private String mAuthor = "";

    @Required
    @Arguments(title = "DATA CENTRE", description = Texts.ARGUMENT_DATA_CENTRE)
    private String mDataCentre = "";

    /** The order that control recorded, printed as JSON. */
    record Recorded(String dataCentre, boolean drain) {}

    int send(Console console, boolean drain, String text) {
        DrainDataCentreRequest request =
                DrainDataCentreRequest.newBuilder()
                        .setDataCentre(mDataCentre)
                        .setDrain(drain)
                        .setAuthor(mAuthor.isEmpty() ? console.user() : mAuthor)
                        .build();
        return mFleet.withFleet(
                console,
                f -> {
                    DrainReply reply = f.control().drainDataCentre(request);
                    Replies.requireOk(reply.getCode(), reply.getMessage());
                    if (mFleet.isJson()) {
                        console.printJson(new Recorded(mDataCentre, drain));
                    } else {
                        console.print(String.format(text, mDataCentre));
                    }
                    return PgmCommand.SUCCESS;
                });
    }
}
