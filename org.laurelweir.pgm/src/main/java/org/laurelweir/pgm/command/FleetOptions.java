package org.laurelweir.pgm.command;

import com.github.rvesse.airline.annotations.Option;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.locks.LockSupport;
import java.util.function.Function;
import java.util.stream.Stream;
import org.laurelweir.errors.LaurelweirException;
import org.laurelweir.lib.ResultCode;
import org.laurelweir.pgm.Console;
import org.laurelweir.pgm.Texts;
import org.laurelweir.pgm.fleet.FleetConnection;

/** The options of every command that calls the fleet. */
public final class FleetOptions {
    private static final String CONTROL_VARIABLE = "LAURELWEIR_CONTROL";
    private static final long RETRY_PAUSE_NANOS = 250_000_000;

    @Option(name = "--control", title = "ADDRESSES", description = Texts.OPTION_CONTROL)
    private String mControl = "";

    @Option(name = "--timeout", title = "SECONDS", description = Texts.OPTION_TIMEOUT)
    private int mTimeoutSeconds = 3;

    @Option(name = "--json", description = Texts.OPTION_JSON)
    private boolean mJson;

    /** Returns whether to print the result as JSON. */
    boolean isJson() {
        return mJson;
    }

    /**
     * Runs a command's work with connections to the fleet, and closes them afterwards.
     *
     * @param console provides the control instances' addresses if no option names them
     * @param work the command's work
     * @return the exit status that the work returns
     */
    int withFleet(Console console, Function<FleetConnection, Integer> work) {
        String text = mControl.isEmpty() ? console.variable(CONTROL_VARIABLE) : mControl;
        List<String> addresses =
                Stream.of(text.split(",")).map(String::strip).filter(a -> !a.isEmpty()).toList();
        if (addresses.isEmpty()) {
            throw new LaurelweirException(ResultCode.USAGE, Texts.NO_CONTROL);
        }
        Duration timeout = Duration.ofSeconds(mTimeoutSeconds);
        Runnable pause = () -> LockSupport.parkNanos(RETRY_PAUSE_NANOS);
        try (FleetConnection fleet = new FleetConnection(addresses, timeout, pause)) {
            fleet.start();
            return work.apply(fleet);
        }
    }
}
