package org.laurelweir.router.direct;

import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;
import org.laurelweir.answer.ServerNotice;
import org.laurelweir.direct.DirectEvent;
import org.laurelweir.lib.BackendRef;
import org.laurelweir.runtime.rpc.ServerNoticeReader;

/**
 * Reports what backend servers say of themselves in the heads of answers. Every head on a
 * connection counts, also one that answers a request which has ended, or none.
 *
 * <p>The decision loop learns of a backoff from its queue, and a request that it has sent to the
 * server meanwhile may still wait for a connection. So this class also knows which servers are in
 * backoff. Not thread-safe: confined to the event loop of the connections.
 */
final class ServerNotices {
    private final ServerNoticeReader mReader;
    private final Consumer<DirectEvent> mEvents;
    private final Map<BackendRef, Long> mBackoffEndNanos = new HashMap<>();

    ServerNotices(ServerNoticeReader reader, Consumer<DirectEvent> events) {
        mReader = reader;
        mEvents = events;
    }

    /** Reports what a head says of the server that the connection was opened to. */
    void onHead(BackendRef server, HttpResponse head) {
        if (head.status().code() == HttpResponseStatus.MISDIRECTED_REQUEST.code()) {
            // Another server is at the address now, and speaks of itself.
            return;
        }
        ServerNotice notice = mReader.read(head);
        if (notice.asksForBackoff()) {
            addBackoff(server, notice.backoff());
        }
        if (!notice.equals(ServerNotice.NONE)) {
            mEvents.accept(new DirectEvent.ServerNoticed(server, notice));
        }
    }

    private void addBackoff(BackendRef server, Duration backoff) {
        long now = System.nanoTime();
        mBackoffEndNanos.values().removeIf(end -> end - now <= 0);
        mBackoffEndNanos.merge(server, now + backoff.toNanos(), (a, b) -> a - b >= 0 ? a : b);
    }

    /** Returns whether a server asked for backoff that has not ended. */
    boolean isInBackoff(BackendRef server) {
        Long end = mBackoffEndNanos.get(server);
        return end != null && end - System.nanoTime() > 0;
    }
}
