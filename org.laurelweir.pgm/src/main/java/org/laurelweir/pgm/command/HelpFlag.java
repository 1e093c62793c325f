package org.laurelweir.pgm.command;

import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.OptionType;
import org.laurelweir.pgm.Texts;

/**
 * Shows {@code --help} among each command's options. The entry class obeys it before the command
 * line is parsed, so that it works where required arguments are missing.
 */
public final class HelpFlag {
    @Option(
            type = OptionType.COMMAND,
            name = {"-h", "--help"},
            description = Texts.OPTION_HELP)
    private boolean mHelp;
}
