package org.laurelweir.benchmarks.measure;

import com.github.rvesse.airline.SingleCommand;
import com.github.rvesse.airline.parser.errors.ParseException;
import org.laurelweir.errors.LaurelweirException;

/** Entry point of bin/measure. */
public final class Main {
    private static final int EXIT_USAGE = 2;

    private Main() {}

    /** Runs the command; exits with status 2 on a usage error. */
    public static void main(String[] args) {
        try {
            MeasureCommand command = SingleCommand.singleCommand(MeasureCommand.class).parse(args);
            command.call();
        } catch (ParseException | LaurelweirException e) {
            System.err.println(e.getMessage());
            System.exit(EXIT_USAGE);
        }
    }
}
