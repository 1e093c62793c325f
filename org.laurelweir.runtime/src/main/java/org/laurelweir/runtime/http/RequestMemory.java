package org.laurelweir.runtime.http;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/**
 * Bounds the memory of all requests that a process holds, heads and bodies: those that it reads,
 * and those that a router may have to send again. Without a bound, a few clients whose requests are
 * each within the limits fill the heap, and the process ends with every request that it has in
 * hand.
 *
 * <p>Large requests reserve their memory before they are read, in the order of their arrival. A
 * part is left to small ones, so that these are served beside them. Thread-safe.
 */
public final class RequestMemory {
    private static final FluentLogger sLogger = FluentLogger.forEnclosingClass();

    /** What takes up to this much memory counts as small. */
    public static final int SMALL_BYTES = 64 << 10;

    /** Part of the memory that large requests leave to small ones, as a divisor. */
    private static final int SMALL_PART_DIVISOR = 8;

    /** Each request that waits for memory may hold as much as one read of its connection brings. */
    private static final int MAX_WAITING = 64;

    /** How long a large request is held, as long as none was released yet. */
    private static final Duration INITIAL_HOLD_TIME = Duration.ofSeconds(1);

    /** Weight of the latest time in the mean of the times for which large requests are held. */
    private static final double HOLD_TIME_WEIGHT = 0.2;

    private static final Duration MAX_RETRY_AFTER = Duration.ofSeconds(5);

    /** A request that has been read for longer gives way to others when memory is short. */
    private static final Duration MIN_READ_TIME = Duration.ofSeconds(1);

    private final long mMaxBytes;
    private final LongSupplier mNanoTime;
    private final Deque<Waiter> mWaiting = new ArrayDeque<>();

    /** When the requests were begun that are still being read, the oldest first. */
    private final Map<RequestReservation, Long> mReading = new LinkedHashMap<>();

    private long mReservedBytes;
    private long mWaitingBytes;
    private long mRefusedCount;
    private double mHoldNanos = INITIAL_HOLD_TIME.toNanos();

    /** A request that waits for memory. */
    static final class Waiter {
        private final long mBytes;
        private final Runnable mOnReserved;

        private Waiter(long bytes, Runnable onReserved) {
            mBytes = bytes;
            mOnReserved = onReserved;
        }
    }

    /**
     * Creates a bound without any request.
     *
     * @param maxBytes maximum memory of all requests together
     */
    public RequestMemory(long maxBytes) {
        this(maxBytes, System::nanoTime);
    }

    RequestMemory(long maxBytes, LongSupplier nanoTime) {
        mMaxBytes = maxBytes;
        mNanoTime = nanoTime;
    }

    /** Returns the time in nanoseconds since some moment. */
    long nanoTime() {
        return mNanoTime.getAsLong();
    }

    /** Called when a request that is being read has its first memory. */
    synchronized void beginReading(RequestReservation request) {
        mReading.put(request, nanoTime());
    }

    /** Called when a request is whole or given up. */
    synchronized void endReading(RequestReservation request) {
        mReading.remove(request);
    }

    /**
     * Lets the request that has been read for longest give up its memory, unless all are read only
     * for a moment. A few clients that announce bodies and do not send them would otherwise hold
     * the memory again and again, each for as long as a request may take.
     *
     * @param other does not give up for itself
     */
    void giveUpSlowest(RequestReservation other) {
        RequestReservation slowest = null;
        synchronized (this) {
            Iterator<Map.Entry<RequestReservation, Long>> oldest = mReading.entrySet().iterator();
            if (oldest.hasNext()) {
                Map.Entry<RequestReservation, Long> e = oldest.next();
                boolean isSlow = nanoTime() - e.getValue() >= MIN_READ_TIME.toNanos();
                if (isSlow && e.getKey() != other) {
                    slowest = e.getKey();
                    oldest.remove();
                }
            }
        }
        if (slowest != null) {
            slowest.giveUp();
        }
    }

    /** Returns the memory of the largest request that there is room for. */
    public long maxRequestBytes() {
        return mMaxBytes - mMaxBytes / SMALL_PART_DIVISOR;
    }

    /** Returns the number of bytes that are reserved. */
    public synchronized long bytes() {
        return mReservedBytes;
    }

    /** Returns the number of requests that wait for memory. */
    public synchronized int waitingCount() {
        return mWaiting.size();
    }

    /** Returns the number of requests that were refused for lack of memory. */
    public synchronized long refusedCount() {
        return mRefusedCount;
    }

    /** Reserves memory at once, unless it is short or earlier requests wait for it. */
    synchronized boolean tryReserve(long bytes) {
        boolean isSmall = bytes <= SMALL_BYTES;
        if (!hasRoom(bytes) || !isSmall && !mWaiting.isEmpty()) {
            return false;
        }
        mReservedBytes += bytes;
        return true;
    }

    private boolean hasRoom(long bytes) {
        long limit = bytes <= SMALL_BYTES ? mMaxBytes : maxRequestBytes();
        return mReservedBytes + bytes <= limit;
    }

    /**
     * Reserves memory as soon as it is there, after the requests that wait already.
     *
     * @param onReserved called once the memory is reserved, on any thread
     * @return what cancels the wait, or null if too many requests wait
     */
    Waiter await(long bytes, Runnable onReserved) {
        Waiter waiter = new Waiter(bytes, onReserved);
        List<Waiter> served;
        synchronized (this) {
            if (mWaiting.size() >= MAX_WAITING) {
                return null;
            }
            mWaiting.add(waiter);
            mWaitingBytes += bytes;
            served = serveWaiting();
        }
        served.forEach(w -> w.mOnReserved.run());
        return waiter;
    }

    /**
     * Ends a wait.
     *
     * @return whether it had not ended; otherwise its memory is reserved
     */
    boolean cancel(Waiter waiter) {
        List<Waiter> served;
        synchronized (this) {
            if (!mWaiting.remove(waiter)) {
                return false;
            }
            mWaitingBytes -= waiter.mBytes;
            served = serveWaiting();
        }
        served.forEach(w -> w.mOnReserved.run());
        return true;
    }

    /**
     * Releases memory.
     *
     * @param heldNanos how long it was held
     */
    void release(long bytes, long heldNanos) {
        List<Waiter> served;
        synchronized (this) {
            mReservedBytes -= bytes;
            if (bytes > SMALL_BYTES) {
                mHoldNanos += HOLD_TIME_WEIGHT * (heldNanos - mHoldNanos);
            }
            served = serveWaiting();
        }
        served.forEach(w -> w.mOnReserved.run());
    }

    private List<Waiter> serveWaiting() {
        List<Waiter> served = new ArrayList<>();
        while (!mWaiting.isEmpty() && hasRoom(mWaiting.peek().mBytes)) {
            Waiter w = mWaiting.remove();
            mWaitingBytes -= w.mBytes;
            mReservedBytes += w.mBytes;
            served.add(w);
        }
        return served;
    }

    /**
     * Counts a request that is refused for lack of memory.
     *
     * @return when its caller may expect to find memory, if memory is released as lately
     */
    synchronized Duration refuse(long bytes) {
        mRefusedCount++;
        double turns = (mReservedBytes + mWaitingBytes + bytes) / (double) maxRequestBytes();
        long nanos = (long) Math.min(mHoldNanos * turns, MAX_RETRY_AFTER.toNanos());
        Duration retryAfter = Duration.ofNanos(nanos);
        sLogger.atWarning().atMostEvery(1, TimeUnit.SECONDS).log(
                "%d requests refused since the start for lack of memory; the last of %d bytes,"
                        + " %d of %d reserved, %d wait, Retry-After %d ms",
                mRefusedCount,
                bytes,
                mReservedBytes,
                mMaxBytes,
                mWaiting.size(),
                retryAfter.toMillis());
        return retryAfter;
    }
}
