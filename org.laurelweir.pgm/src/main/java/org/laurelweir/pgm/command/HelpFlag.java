package org.laurelweir.pgm.command;

import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.OptionType;
import org.laurelweir.pgm.Texts;

/**
 * Lists {@code --help} among the options of a command. {@code Main} handles the option before it
 * parses the command line, so that it works even if required arguments are missing.
 */
public final class HelpFlag {
    @Option(
            type = OptionType.COMMAND,
            name = {"-h", "--help"},
            description = Texts.OPTION_HELP)
    private boolean mHelp;
}
