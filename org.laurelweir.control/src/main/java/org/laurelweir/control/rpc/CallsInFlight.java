package org.laurelweir.control.rpc;

/**
 * The messages to one peer that have no answer. Thread-safe.
 *
 * <p>A peer that takes nothing must not fill the memory with messages that are sent anew: a leader
 * repeats what a silent follower lacks with each heartbeat, and a message of some megabytes waits
 * for a second and a half before it is given up.
 */
final class CallsInFlight {
    private static final int MOST_CALLS = 64;

    /** As much as a leader with a heap of 64 MB has under way to one follower. */
    private static final int MOST_BYTES = 1 << 20;

    /** Heartbeats and votes are below; they pass while something large is under way. */
    private static final int SMALL_BYTES = 4 << 10;

    private int mCalls;
    private long mBytes;

    /** Returns whether a message may be sent, and if so counts it. */
    synchronized boolean begin(int bytes) {
        boolean fits = bytes <= SMALL_BYTES || mBytes < MOST_BYTES;
        if (mCalls >= MOST_CALLS || !fits) {
            return false;
        }
        mCalls++;
        mBytes += bytes;
        return true;
    }

    /** Takes note that a message was answered or given up. */
    synchronized void end(int bytes) {
        mCalls--;
        mBytes -= bytes;
    }
}
