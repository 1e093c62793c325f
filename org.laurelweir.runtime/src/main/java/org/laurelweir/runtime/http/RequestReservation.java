package org.laurelweir.runtime.http;

import java.time.Duration;

/**
 * The part of the {@link RequestMemory} that the requests of one connection use, one after the
 * other. Used on the connection's event loop only.
 */
public final class RequestReservation {
    private final RequestMemory mMemory;
    private final Runnable mOnGivenUp;
    private long mBytes;
    private long mSinceNanos;
    private RequestMemory.Waiter mWaiter;
    private long mAwaitedBytes;

    /**
     * Creates a reservation of nothing.
     *
     * @param onGivenUp called on any thread if a request that is being read has to give up its
     *     memory for others, since it takes too long
     */
    public RequestReservation(RequestMemory memory, Runnable onGivenUp) {
        mMemory = memory;
        mOnGivenUp = onGivenUp;
    }

    void giveUp() {
        mOnGivenUp.run();
    }

    /** Called when the request is whole. It keeps its memory until that is released. */
    public void onWhole() {
        mMemory.endReading(this);
    }

    /** Returns the memory that is reserved, in bytes. */
    public long bytes() {
        return mBytes;
    }

    /** Returns whether the reservation waits for memory. */
    public boolean isWaiting() {
        return mWaiter != null;
    }

    /** Enlarges the reservation at once, if there is memory. */
    public boolean tryGrow(long bytes) {
        if (bytes <= mBytes) {
            return true;
        }
        if (!mMemory.tryReserve(bytes - mBytes)) {
            mMemory.giveUpSlowest(this);
            return false;
        }
        onGrown(bytes);
        return true;
    }

    private void onGrown(long bytes) {
        if (mBytes == 0) {
            mMemory.beginReading(this);
        }
        mBytes = bytes;
        mSinceNanos = mMemory.nanoTime();
    }

    /**
     * Waits for memory.
     *
     * @param onReserved called on any thread once the memory is there; it has to call {@link
     *     #onReserved} on the event loop
     * @return whether the request may wait
     */
    public boolean await(long bytes, Runnable onReserved) {
        mAwaitedBytes = bytes;
        mWaiter = mMemory.await(bytes - mBytes, onReserved);
        return mWaiter != null;
    }

    /** Takes the memory that was waited for. Returns false if the wait was given up before. */
    public boolean onReserved() {
        if (mWaiter == null) {
            return false;
        }
        mWaiter = null;
        onGrown(mAwaitedBytes);
        return true;
    }

    /**
     * Counts a request that is refused for lack of memory.
     *
     * @return when its client may expect to find memory
     */
    public Duration refuse(long bytes) {
        mMemory.giveUpSlowest(this);
        return mMemory.refuse(bytes);
    }

    /** Gives back what is reserved beyond a size. */
    public void shrinkTo(long bytes) {
        if (bytes < mBytes) {
            long excess = mBytes - bytes;
            mBytes = bytes;
            mMemory.release(excess, mMemory.nanoTime() - mSinceNanos);
        }
    }

    /** Gives everything back, and ends a wait. */
    public void release() {
        if (mWaiter != null && !mMemory.cancel(mWaiter)) {
            onGrown(mAwaitedBytes);
        }
        mWaiter = null;
        mMemory.endReading(this);
        shrinkTo(0);
    }
}
