package org.laurelweir.router.direct;

import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.util.function.Consumer;
import org.laurelweir.answer.ServerNotice;
import org.laurelweir.direct.DirectEvent;
import org.laurelweir.lib.BackendRef;
import org.laurelweir.runtime.rpc.ServerNoticeReader;

/**
 * Reports what backend servers say of themselves in the heads of answers. Every head on a
 * connection counts, also one that answers a request which has ended, or none.
 */
final class ServerNotices {
    private final ServerNoticeReader mReader;
    private final Consumer<DirectEvent> mEvents;

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
        if (!notice.equals(ServerNotice.NONE)) {
            mEvents.accept(new DirectEvent.ServerNoticed(server, notice));
        }
    }
}
