package org.laurelweir.sidecar.backend;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Consumer;
import org.laurelweir.admission.SidecarEvent;
import org.laurelweir.answer.ServerNotice;
import org.laurelweir.attempt.AttemptRequest;
import org.laurelweir.lib.AttemptId;
import org.laurelweir.runtime.config.Endpoint;
import org.laurelweir.runtime.rpc.EventLoops;
import org.laurelweir.runtime.rpc.HttpConnector;
import org.laurelweir.runtime.rpc.ServerNoticeReader;

/**
 * Calls the backend server, with a connection for each call. Closing the connection cancels this
 * call and no other. A reused connection may be closed by the backend server while a call is sent,
 * which would leave it unknown whether the call was run. Both ends are on one machine, so that
 * connecting costs little.
 */
public final class BackendClient {
    private static final int CONNECT_TIMEOUT_MILLIS = 1_000;

    private final HttpConnector mConnector;
    private final Endpoint mBackend;
    private final Consumer<SidecarEvent> mEvents;
    private final ServerNoticeReader mNotices =
            new ServerNoticeReader(ServerNoticeReader.DEFAULT_LEAVING_HEADER);
    private final Map<AttemptId, Channel> mChannels = new ConcurrentHashMap<>();

    /**
     * Creates a client.
     *
     * @param loops the event loops that run the connections
     * @param backend the address that the backend server listens on
     * @param events receives the answers and the ends of calls, on any thread
     */
    public BackendClient(EventLoops loops, Endpoint backend, Consumer<SidecarEvent> events) {
        mConnector = new HttpConnector(loops, loops.group(), CONNECT_TIMEOUT_MILLIS);
        mBackend = backend;
        mEvents = events;
    }

    /** Starts the call of an attempt. */
    public void start(AttemptRequest request) {
        FullHttpRequest message = RequestMessage.of(request, mBackend.toString());
        AttemptListener listener =
                new AttemptListener(request.id(), mEvents, () -> mChannels.remove(request.id()));
        BackendCall call =
                new BackendCall(message, request.call().streamed(), listener, this::reportNotice);
        ChannelFuture connect = connect(call);
        mChannels.put(request.id(), connect.channel());
        // The call's end removes the entry, so the entry is put before the call can end.
        connect.addListener(f -> call.onConnected(connect));
    }

    /** Starts a call that belongs to no attempt. */
    void start(FullHttpRequest message, CallListener listener) {
        BackendCall call = new BackendCall(message, false, listener, this::reportNotice);
        ChannelFuture connect = connect(call);
        connect.addListener(f -> call.onConnected(connect));
    }

    private void reportNotice(HttpResponse head) {
        ServerNotice notice = mNotices.read(head);
        if (!notice.equals(ServerNotice.NONE)) {
            mEvents.accept(new SidecarEvent.EngineNoticed(notice));
        }
    }

    /** Opens and closes a connection, and reports whether it could be opened. */
    void checkReachable(Consumer<Boolean> reachable) {
        ChannelFuture connect = connect(new ChannelInboundHandlerAdapter());
        connect.addListener(
                f -> {
                    reachable.accept(connect.isSuccess());
                    connect.channel().close();
                });
    }

    Endpoint backend() {
        return mBackend;
    }

    private ChannelFuture connect(ChannelHandler handler) {
        return mConnector.connect(mBackend, handler);
    }

    /** Cancels a call by closing its connection. Does nothing if the call has ended. */
    public void cancel(AttemptId attempt) {
        Channel channel = mChannels.remove(attempt);
        if (channel != null) {
            channel.close();
        }
    }

    /** Resumes or pauses reading a call's answer. A pause makes the backend server wait. */
    public void setReading(AttemptId attempt, boolean reading) {
        Channel channel = mChannels.get(attempt);
        if (channel != null) {
            channel.config().setAutoRead(reading);
        }
    }
}
