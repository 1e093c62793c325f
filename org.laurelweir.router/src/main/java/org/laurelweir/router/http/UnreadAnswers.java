package org.laurelweir.router.http;

import com.google.common.flogger.FluentLogger;
import io.netty.channel.Channel;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * Bounds the whole answers that callers have not taken yet. Such an answer leaves the decision loop
 * at once, and stays in memory until the caller has read it. Beyond the limit the connections that
 * have waited longest are closed: without it, a few callers that do not read large answers fill the
 * memory. Thread-safe.
 */
public final class UnreadAnswers {
    private static final FluentLogger sLogger = FluentLogger.forEnclosingClass();

    /** Smaller answers are not counted; a connection has one at most. */
    private static final int MIN_COUNTED_BYTES = 64 << 10;

    private final long mMaxBytes;

    /** The sizes of the answers by connection, the oldest first. */
    private final Map<Channel, Integer> mAnswers = new LinkedHashMap<>();

    private long mBytes;
    private long mClosedCount;

    /**
     * Creates a bound without any answer.
     *
     * @param maxBytes maximum size of all answers together; a single larger one is kept
     */
    public UnreadAnswers(long maxBytes) {
        mMaxBytes = maxBytes;
    }

    /** Returns the size of the counted answers together. */
    public synchronized long bytes() {
        return mBytes;
    }

    /** Counts an answer until {@link #remove}, and closes others that have waited too long. */
    synchronized void add(Channel connection, int bytes) {
        if (bytes < MIN_COUNTED_BYTES) {
            return;
        }
        remove(connection);
        mAnswers.put(connection, bytes);
        mBytes += bytes;
        Iterator<Map.Entry<Channel, Integer>> oldest = mAnswers.entrySet().iterator();
        while (mBytes > mMaxBytes && mAnswers.size() > 1) {
            Map.Entry<Channel, Integer> e = oldest.next();
            oldest.remove();
            mBytes -= e.getValue();
            close(e.getKey());
        }
    }

    private void close(Channel connection) {
        mClosedCount++;
        sLogger.atWarning().atMostEvery(1, TimeUnit.SECONDS).log(
                "%d connections closed since the start whose callers did not read their answers;"
                        + " limit %d bytes",
                mClosedCount, mMaxBytes);
        connection.close();
    }

    /** Called when the caller has taken its answer, or its connection is closed. */
    synchronized void remove(Channel connection) {
        Integer bytes = mAnswers.remove(connection);
        if (bytes != null) {
            mBytes -= bytes;
        }
    }
}
