package org.laurelweir.control.rpc;

/**
 * Limits the total size of settings documents that are being processed at the same time. Reading,
 * translating and encoding a document takes many times its size, so a few operators at once could
 * fill the heap. Thread-safe.
 */
public final class DocumentBudget {
    /**
     * A sixteenth of the smallest heap that control runs with, and the size of four documents of
     * 900 routes. A rejected caller retries within a second.
     */
    private static final int MAX_BYTES = 1 << 20;

    private long mBytes;

    /**
     * Reserves space for a document. A document of any size fits if it is the only one.
     *
     * @param bytes size of the document
     * @return whether the document may be read; if so, the space must be given back once the
     *     document is answered
     */
    public synchronized boolean tryAcquire(int bytes) {
        if (mBytes > 0 && mBytes + bytes > MAX_BYTES) {
            return false;
        }
        mBytes += bytes;
        return true;
    }

    /** Gives back the space of a document. */
    public synchronized void release(int bytes) {
        mBytes -= bytes;
    }
}
