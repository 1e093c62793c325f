package org.laurelweir.pgm;

/** A subcommand whose options and arguments are parsed. */
@FunctionalInterface
public interface PgmCommand {
    /** Exit status of a command that succeeded. */
    int SUCCESS = 0;

    /** Exit status of a command that found a difference, a fault or nothing. */
    int NEGATIVE = 1;

    /**
     * Runs the command.
     *
     * @param console takes the result and messages
     * @return {@link #SUCCESS} or {@link #NEGATIVE}
     * @throws org.laurelweir.errors.LaurelweirException if the command failed; its code determines
     *     the exit status
     */
    int run(Console console);
}
