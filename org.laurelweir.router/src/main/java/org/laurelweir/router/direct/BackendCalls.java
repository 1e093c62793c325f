package org.laurelweir.router.direct;

import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ConnectTimeoutException;
import io.netty.channel.EventLoop;
import java.net.ConnectException;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Consumer;
import org.laurelweir.direct.DirectEffect;
import org.laurelweir.direct.DirectEvent;
import org.laurelweir.direct.DirectEvent.Reachability;
import org.laurelweir.router.http.HttpDialect;
import org.laurelweir.routing.RouterEvent;
import org.laurelweir.runtime.config.Endpoint;
import org.laurelweir.runtime.rpc.EventLoops;
import org.laurelweir.runtime.rpc.HttpConnector;
import org.laurelweir.runtime.rpc.ServerNoticeReader;

/**
 * Sends requests directly to backend servers and reports their answers and failures as events. All
 * state is confined to one event loop; any thread may call the methods.
 */
public final class BackendCalls {
    /**
     * A reachable server accepts a connection within a few round trips, an unreachable one never
     * does. Nothing has been sent when this timeout expires, so any request can be retried on
     * another server.
     */
    private static final int CONNECT_TIMEOUT_MILLIS = 350;

    private final EventLoop mLoop;
    private final HttpConnector mConnector;
    private final RequestWriter mWriter;
    private final AnswerReader mReader;
    private final ServerNotices mNotices;
    private final Consumer<DirectEvent> mEvents;
    private final IdleConnections mIdle = new IdleConnections();
    private final Map<Long, HttpExchange> mExchanges = new ConcurrentHashMap<>();

    /**
     * Creates the calls.
     *
     * @param loops event loops for the connections
     * @param dialect the names of headers
     * @param events receives the answers and failures of the calls
     */
    public BackendCalls(EventLoops loops, HttpDialect dialect, Consumer<DirectEvent> events) {
        mLoop = loops.group().next();
        mConnector = new HttpConnector(loops, mLoop, CONNECT_TIMEOUT_MILLIS);
        mWriter = new RequestWriter(dialect);
        mReader = new AnswerReader(dialect);
        mNotices = new ServerNotices(new ServerNoticeReader(dialect.leaving()), events);
        mEvents = events;
    }

    /** Sends a request, over an idle connection if there is one. */
    public void begin(DirectEffect.BeginCall call) {
        mLoop.execute(() -> start(call));
    }

    /** Cancels a call by closing its connection. Does nothing if the call has ended. */
    public void cancel(DirectEffect.CancelCall call) {
        mLoop.execute(
                () -> {
                    HttpExchange x = mExchanges.remove(call.call());
                    if (x != null) {
                        x.cancel();
                    }
                });
    }

    /** Stops reading a call's answer for a while, or reads on. */
    public void pause(DirectEffect.PauseCall pause) {
        mLoop.execute(
                () -> {
                    HttpExchange x = mExchanges.get(pause.call());
                    if (x != null) {
                        x.setPaused(pause.paused());
                    }
                });
    }

    /** Called on the decision loop when it has processed an event. */
    public void onProcessed(RouterEvent event) {
        if (event instanceof RouterEvent.Direct d
                && d.event() instanceof DirectEvent.DataReceived e) {
            HttpExchange x = mExchanges.get(e.call());
            if (x != null) {
                x.onProcessed(e.bytes().length);
            }
        }
    }

    /** Opens a connection to a backend server, closes it, and reports whether it was accepted. */
    public void check(DirectEffect.CheckBackend check) {
        Endpoint address = Endpoint.parse(check.address());
        ChannelFuture connect = mConnector.connect(address, new ChannelInboundHandlerAdapter());
        connect.addListener(
                f -> {
                    connect.channel().close();
                    mEvents.accept(
                            new DirectEvent.BackendChecked(check.check(), reachability(f.cause())));
                });
    }

    private static Reachability reachability(Throwable failure) {
        if (failure == null) {
            return Reachability.ACCEPTS;
        }
        boolean refused =
                failure instanceof ConnectException
                        && !(failure instanceof ConnectTimeoutException);
        return refused ? Reachability.REFUSES : Reachability.UNKNOWN;
    }

    private void start(DirectEffect.BeginCall call) {
        HttpExchange x = new HttpExchange(call, mReader, this::report);
        mExchanges.put(call.call(), x);
        if (mNotices.isInBackoff(call.backend())) {
            x.withhold();
            return;
        }
        BackendConnection idle = mIdle.take(call.backend());
        if (idle == null) {
            connect(call, x);
        } else {
            idle.send(mWriter.write(call), x);
        }
    }

    private void connect(DirectEffect.BeginCall call, HttpExchange x) {
        BackendConnection connection = new BackendConnection(call.backend(), mIdle, mNotices);
        ChannelFuture connect = mConnector.connect(Endpoint.parse(call.address()), connection);
        x.onConnecting(connect.channel());
        connect.addListener(
                f -> {
                    if (!f.isSuccess()) {
                        x.onConnectFailed("can't connect: " + f.cause().getMessage());
                    } else if (x.isEnded()) {
                        connect.channel().close();
                    } else if (mNotices.isInBackoff(call.backend())) {
                        connect.channel().close();
                        x.withhold();
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
