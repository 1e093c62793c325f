package org.laurelweir.sidecar.backend;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.FullHttpRequest;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Consumer;
import org.laurelweir.admission.SidecarEvent;
import org.laurelweir.attempt.AttemptRequest;
import org.laurelweir.lib.AttemptId;
import org.laurelweir.runtime.config.Endpoint;
import org.laurelweir.runtime.rpc.EventLoops;
import org.laurelweir.runtime.rpc.HttpConnector;

/**
 * Calls the backend server. Each call has a connection of its own: closing it cancels the call and
 * no other, and a call never goes out on a kept connection that the other end is just closing,
 * which would leave it unknown whether it was run. Both ends are on one machine, so that connecting
 * costs little.
 */
public final class BackendClient {
    private static final int CONNECT_MILLIS = 1_000;

    private final HttpConnector mConnector;
    private final Endpoint mBackend;
    private final Consumer<SidecarEvent> mEvents;
    private final Map<AttemptId, Channel> mChannels = new ConcurrentHashMap<>();

    /**
     * Creates a client.
     *
     * @param loops carry the connections
     * @param backend where the backend server listens
     * @param events takes what becomes of the calls, on any thread
     */
    public BackendClient(EventLoops loops, Endpoint backend, Consumer<SidecarEvent> events) {
        mConnector = new HttpConnector(loops, loops.group(), CONNECT_MILLIS);
        mBackend = backend;
        mEvents = events;
    }

    /** Makes the call of an attempt. */
    public void start(AttemptRequest request) {
        FullHttpRequest message = RequestMessage.of(request, mBackend.toString());
        AttemptListener listener =
                new AttemptListener(request.id(), mEvents, () -> mChannels.remove(request.id()));
        BackendCall call = new BackendCall(message, request.call().streamed(), listener);
        ChannelFuture connect = connect(call);
        mChannels.put(request.id(), connect.channel());
        // Added after the entry is there, so that the call's end finds it.
        connect.addListener(f -> call.connected(connect));
    }

    /** Makes a call that belongs to no attempt. */
    void start(FullHttpRequest message, CallListener listener) {
        BackendCall call = new BackendCall(message, false, listener);
        ChannelFuture connect = connect(call);
        connect.addListener(f -> call.connected(connect));
    }

    /** Tries whether the backend server can be reached at all. */
    void tryConnecting(Consumer<Boolean> reachable) {
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

    /** Closes a call's connection, which cancels its work; nothing happens where it has ended. */
    public void cancel(AttemptId attempt) {
        Channel channel = mChannels.remove(attempt);
        if (channel != null) {
            channel.close();
        }
    }

    /** Reads a call's answer on, or no further, so that the backend server has to wait. */
    public void setReading(AttemptId attempt, boolean reading) {
        Channel channel = mChannels.get(attempt);
        if (channel != null) {
            channel.config().setAutoRead(reading);
        }
    }
}
