package org.laurelweir.consensus;

import java.util.List;

/**
 * One entry of the replicated log.
 *
 * @param index its position, from 1
 * @param term the term of the leader that created it
 * @param kind what the payload holds
 * @param payload the command, an encoded {@link Membership}, or empty; never changed once made
 */
public record LogEntry(long index, long term, Kind kind, byte[] payload) {
    /** What an entry takes in a message besides its payload, about. */
    private static final int OVERHEAD_BYTES = 24;

    /** Returns what entries take in a message, about. */
    static long totalBytes(List<LogEntry> entries) {
        return entries.stream().mapToLong(LogEntry::bytes).sum();
    }

    /** Returns what the entry takes in a message, about. */
    public int bytes() {
        return OVERHEAD_BYTES + payload.length;
    }

    /** What an entry is for. Numbers are stable, files and messages hold them. */
    public enum Kind {
        /** A command of the state machine. */
        COMMAND(1),
        /** Opens a leader's term, so that entries of earlier terms can be committed. */
        NO_OP(2),
        /** Replaces the set of voters and learners. */
        MEMBERSHIP(3);

        private final int mNumber;

        Kind(int number) {
            mNumber = number;
        }

        /** Returns the stable number of this kind. */
        public int number() {
            return mNumber;
        }

        /**
         * Returns the kind of a number.
         *
         * @throws IllegalArgumentException if no kind has this number
         */
        public static Kind of(int number) {
            for (Kind k : values()) {
                if (k.mNumber == number) {
                    return k;
                }
            }
            throw new IllegalArgumentException("no entry kind " + number);
        }
    }

    @Override
    public String toString() {
        return index + "/" + term + " " + kind + " " + payload.length + " B";
    }
}
