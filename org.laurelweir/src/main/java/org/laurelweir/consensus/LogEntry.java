package org.laurelweir.consensus;

import java.util.List;

/**
 * One entry of the replicated log.
 *
 * @param index its position in the log, starting at 1
 * @param term the term of the leader that created it
 * @param kind the type of the payload
 * @param payload the command, an encoded {@link Membership}, or empty; must not be modified
 */
public record LogEntry(long index, long term, Kind kind, byte[] payload) {
    /** Approximate size of an encoded entry without its payload. */
    private static final int OVERHEAD_BYTES = 24;

    /** Returns the approximate encoded size of entries in bytes. */
    static long totalBytes(List<LogEntry> entries) {
        return entries.stream().mapToLong(LogEntry::bytes).sum();
    }

    /** Returns the approximate encoded size in bytes. */
    public int bytes() {
        return OVERHEAD_BYTES + payload.length;
    }

    /**
     * The kind of an entry. The numbers are stored in files and sent in messages and must not
     * change.
     */
    public enum Kind {
        /** A command of the state machine. */
        COMMAND(1),
        /** Starts a leader's term, so that entries of earlier terms can be committed. */
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
            throw new IllegalArgumentException("unknown log entry kind: " + number);
        }
    }

    @Override
    public String toString() {
        return index + "/" + term + " " + kind + " " + payload.length + " B";
    }
}
