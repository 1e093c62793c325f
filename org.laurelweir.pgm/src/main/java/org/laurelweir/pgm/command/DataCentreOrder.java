package org.laurelweir.pgm.command;

import com.github.rvesse.airline.annotations.AirlineModule;
import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.restrictions.Required;
import org.laurelweir.pgm.Console;
import org.laurelweir.pgm.Texts;
import org.laurelweir.wire.v1.DrainDataCentreRequest;

/** Sends an order to drain a data centre, or to end its drain, to control. */
final class DataCentreOrder {
    @AirlineModule private DrainOptions mOptions = new DrainOptions();

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
                        .setAuthor(mOptions.author(console))
                        .build();
        return mOptions.send(
                console,
                f -> f.control().drainDataCentre(request),
                new Recorded(mDataCentre, drain),
                String.format(text, mDataCentre));
    }
}
