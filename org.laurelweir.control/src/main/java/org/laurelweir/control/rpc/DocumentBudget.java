package org.laurelweir.control.rpc;

/**
 * Bytes of settings documents that are read, or wait for their answer, at the same time. A document
 * takes many times its size while it is read, translated and encoded, so that a few operators at
 * once could fill the heap. Thread-safe.
 */
public final class DocumentBudget {
    /**
     * A sixteenth of the smallest heap that control is run with, and as much as four documents of
     * 900 routes have. Who is turned away comes back within a second.
     */
    private static final int MOST_BYTES = 1 << 20;

    private long mBytes;

    /**
     * Takes a document in, alone whatever its size, or beside others as far as there is room.
     *
     * @return whether it may be read; if so it is to be given back once it is answered
     */
    public synchronized boolean take(int bytes) {
        if (mBytes > 0 && mBytes + bytes > MOST_BYTES) {
            return false;
        }
        mBytes += bytes;
        return true;
    }

    /** Gives back what a document took. */
    public synchronized void giveBack(int bytes) {
        mBytes -= bytes;
    }
}
