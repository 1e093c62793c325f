package org.laurelweir.router.direct;

import io.netty.channel.ChannelFuture;
import io.netty.channel.EventLoop;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;
import org.laurelweir.direct.DirectEffect;
import org.laurelweir.direct.DirectEvent;
import org.laurelweir.router.http.HttpDialect;
import org.laurelweir.runtime.config.Endpoint;
import org.laurelweir.runtime.rpc.EventLoops;
import org.laurelweir.runtime.rpc.HttpConnector;

/**
 * Makes the calls that the reducer decides on and tells it what becomes of them. All state belongs
 * to one event loop; any thread may call.
 */
public final class BackendCalls {
    /**
     * A server that accepts connections at all does so within a few round trips, a dark one never.
     * Nothing has been sent by then, so that another server can be tried whatever the request.
     */
    private static final int CONNECT_MILLIS = 350;

    private final EventLoop mLoop;
    private final HttpConnector mConnector;
    private final RequestWriter mWriter;
    private final AnswerReader mReader;
    private final Consumer<DirectEvent> mEvents;
    private final IdleConnections mIdle = new IdleConnections();
    private final Map<Long, Exchange> mExchanges = new HashMap<>();

    /**
     * Creates the calls.
     *
     * @param loops carry the connections
     * @param dialect the names of headers
     * @param events takes what becomes of the calls
     */
    public BackendCalls(EventLoops loops, HttpDialect dialect, Consumer<DirectEvent> events) {
        mLoop = loops.group().next();
        mConnector = new HttpConnector(loops, mLoop, CONNECT_MILLIS);
        mWriter = new RequestWriter(dialect);
        mReader = new AnswerReader(dialect);
        mEvents = events;
    }

    /** Begins a call. */
    public void begin(DirectEffect.BeginCall call) {
        mLoop.execute(() -> start(call));
    }

    /** Ends a call by closing its connection; nothing happens where it has ended. */
    public void cancel(DirectEffect.CancelCall call) {
        mLoop.execute(
                () -> {
                    Exchange x = mExchanges.remove(call.call());
                    if (x != null) {
                        x.cancel();
                    }
                });
    }

    private void start(DirectEffect.BeginCall call) {
        Exchange x = new Exchange(call, mReader, this::report);
        mExchanges.put(call.call(), x);
        BackendConnection kept = mIdle.take(call.backend());
        if (kept == null) {
            connect(call, x);
        } else {
            kept.send(mWriter.write(call), x);
        }
    }

    private void connect(DirectEffect.BeginCall call, Exchange x) {
        BackendConnection connection = new BackendConnection(call.backend(), mIdle);
        ChannelFuture connect = mConnector.connect(Endpoint.parse(call.address()), connection);
        x.connecting(connect.channel());
        connect.addListener(
                f -> {
                    if (!f.isSuccess()) {
                        x.unreachable("can't connect: " + f.cause().getMessage());
                    } else if (x.isOver()) {
                        connect.channel().close();
                    } else {
                        connection.send(mWriter.write(call), x);
                    }
                });
    }

    private void report(DirectEvent event) {
        if (event instanceof DirectEvent.Finished e) {
            mExchanges.remove(e.call());
        } else if (event instanceof DirectEvent.Failed e) {
            mExchanges.remove(e.call());
        }
        mEvents.accept(event);
    }
}
