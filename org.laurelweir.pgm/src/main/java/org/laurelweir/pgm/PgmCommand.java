package org.laurelweir.pgm;

/** A subcommand with its options filled in. */
@FunctionalInterface
public interface PgmCommand {
    /** Status of a command that did what it was asked. */
    int SUCCESS = 0;

    /** Status of a command that found a difference, a fault or nothing. */
    int NEGATIVE = 1;

    /**
     * Carries the command out.
     *
     * @param console where to write
     * @return {@link #SUCCESS} or {@link #NEGATIVE}
     * @throws org.laurelweir.errors.LaurelweirException if the command could not be carried out;
     *     its code decides the process's status
     */
    int run(Console console);
}
