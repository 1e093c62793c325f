package org.laurelweir.pgm.command;

import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.OptionType;

/**
 * Shows {@code --help} among each command's options. The entry class obeys it before the command
 * line is parsed, so that it works where required arguments are missing.
 */
public final class HelpFlag {
    @Option(
            type = OptionType.COMMAND,
            name = {"-h", "--help"},
            description = "Shows this help.")
    private boolean mHelp;
}
