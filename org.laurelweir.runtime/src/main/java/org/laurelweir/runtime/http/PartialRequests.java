package org.laurelweir.runtime.http;

import com.google.common.flogger.FluentLogger;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * Bounds the bytes that all connections hold of requests that nobody works on yet: incomplete
 * heads, and what clients send before they have the answer to an earlier request. Beyond the limit
 * the connections that have held bytes longest give them up: an ordinary client's head is complete
 * at once, so that only clients that send without end, or without reading, hold bytes for long.
 * Thread-safe.
 */
public final class PartialRequests {
    private static final FluentLogger sLogger = FluentLogger.forEnclosingClass();

    private final long mMaxBytes;

    /** The bytes by connection, those that have held some for longest first. */
    private final Map<Holder, Integer> mHeld = new LinkedHashMap<>();

    private long mBytes;
    private long mGivenUpCount;

    /** A connection that holds bytes. */
    public interface Holder {
        /** Called on any thread when the connection has to drop the bytes. */
        void giveUp();
    }

    /**
     * Creates a bound without any bytes.
     *
     * @param maxBytes maximum of all connections together
     */
    public PartialRequests(long maxBytes) {
        mMaxBytes = maxBytes;
    }

    /** Returns the number of bytes that are held. */
    public synchronized long bytes() {
        return mBytes;
    }

    /**
     * Sets how much a connection holds.
     *
     * @param bytes the memory in bytes, 0 if it holds nothing any more
     */
    public void set(Holder holder, int bytes) {
        List<Holder> givingUp = new ArrayList<>();
        synchronized (this) {
            Integer before = bytes == 0 ? mHeld.remove(holder) : mHeld.put(holder, bytes);
            mBytes += bytes - (before == null ? 0 : before);
            Iterator<Map.Entry<Holder, Integer>> oldest = mHeld.entrySet().iterator();
            while (mBytes > mMaxBytes && mHeld.size() > 1) {
                Map.Entry<Holder, Integer> e = oldest.next();
                oldest.remove();
                mBytes -= e.getValue();
                givingUp.add(e.getKey());
            }
            mGivenUpCount += givingUp.size();
        }
        givingUp.forEach(Holder::giveUp);
        if (!givingUp.isEmpty()) {
            sLogger.atWarning().atMostEvery(1, TimeUnit.SECONDS).log(
                    "%d connections gave up incomplete requests since the start; limit %d bytes"
                            + " together",
                    mGivenUpCount, mMaxBytes);
        }
    }
}
