package org.laurelweir.control.rpc;

/**
 * Limits the messages to one peer that have no answer. Thread-safe.
 *
 * <p>Messages to a peer that does not answer must not fill the memory. A leader sends a silent
 * follower the missing entries again with each heartbeat, and a message of some megabytes waits for
 * a second and a half before it times out.
 */
final class CallsInFlight {
    private static final int MAX_CALLS = 64;

    /** As many bytes as a leader with a heap of 64 MB has in flight to one follower. */
    private static final int MAX_BYTES = 1 << 20;

    /**
     * Messages of at most this size, such as heartbeats and votes, are sent even if large messages
     * are in flight.
     */
    private static final int SMALL_BYTES = 4 << 10;

    private int mCalls;
    private long mBytes;

    /** Returns whether a message may be sent, and counts it if so. */
    synchronized boolean tryBegin(int bytes) {
        boolean fits = bytes <= SMALL_BYTES || mBytes < MAX_BYTES;
        if (mCalls >= MAX_CALLS || !fits) {
            return false;
        }
        mCalls++;
        mBytes += bytes;
        return true;
    }

    /** Removes a message that was answered or timed out from the counts. */
    synchronized void end(int bytes) {
        mCalls--;
        mBytes -= bytes;
    }
}
