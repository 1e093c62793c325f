package org.laurelweir.runtime.rpc;

import io.grpc.Grpc;
import io.grpc.Metadata;
import io.grpc.MethodDescriptor.MethodType;
import io.grpc.ServerStreamTracer;
import io.grpc.Status;
import io.netty.channel.Channel;
import io.netty.channel.ServerChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.net.SocketAddress;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import org.laurelweir.runtime.http.OpenConnections;
import org.laurelweir.runtime.http.PartialRequests;

/**
 * Bounds what the clients of a gRPC server make it hold: connections, open calls, and messages that
 * no method has taken. gRPC bounds a message and a connection's window each, and not their sum.
 * Beyond the bound the connections that have held something for longest are closed.
 */
final class RpcConnections {
    /** What an open call takes beside its messages, an estimate. */
    private static final int CALL_BYTES = 4 << 10;

    private final PartialRequests mHeld;
    private final OpenConnections mOpen;
    private final Map<SocketAddress, Connection> mConnections = new ConcurrentHashMap<>();

    /**
     * Creates bounds for one server.
     *
     * @param maxBytes maximum of all calls together
     * @param maxConnections maximum number of connections
     */
    RpcConnections(long maxBytes, int maxConnections) {
        mHeld = new PartialRequests(maxBytes);
        mOpen = new OpenConnections(maxConnections);
    }

    /** Returns a new listening channel that counts the connections that it accepts. */
    ServerChannel newServerChannel() {
        return new NioServerSocketChannel() {
            @Override
            protected int doReadMessages(List<Object> accepted) throws Exception {
                int before = accepted.size();
                int count = super.doReadMessages(accepted);
                accepted.subList(before, accepted.size()).removeIf(c -> !admit((Channel) c));
                return count;
            }
        };
    }

    /** Counts a new connection; closes it, or another one, if there are too many. */
    private boolean admit(Channel channel) {
        SocketAddress client = channel.remoteAddress();
        if (client == null) {
            // It has disconnected already.
            channel.unsafe().closeForcibly();
            return false;
        }
        Optional<Channel> excess = mOpen.add(channel);
        if (excess.isPresent() && excess.get() == channel) {
            channel.unsafe().closeForcibly();
            return false;
        }
        excess.ifPresent(Channel::close);
        mConnections.put(client, new Connection(channel));
        channel.closeFuture().addListener(f -> mConnections.remove(client));
        return true;
    }

    /** Returns what counts the bytes of calls. */
    ServerStreamTracer.Factory tracers() {
        return new ServerStreamTracer.Factory() {
            @Override
            public ServerStreamTracer newServerStreamTracer(String method, Metadata headers) {
                return new CallBytes();
            }
        };
    }

    /** One connection and what its calls hold. */
    private final class Connection implements PartialRequests.Holder {
        private final Channel mChannel;
        private int mBytes;
        private int mCalls;

        Connection(Channel channel) {
            mChannel = channel;
        }

        synchronized void add(int bytes) {
            mBytes += bytes;
            mHeld.set(this, mBytes);
        }

        synchronized void begin() {
            mCalls++;
            mOpen.onRequest(mChannel);
        }

        synchronized void end() {
            mCalls--;
            if (mCalls == 0) {
                mOpen.onAnswered(mChannel);
            }
        }

        @Override
        public void giveUp() {
            if (mChannel.eventLoop().inEventLoop()) {
                close();
            } else {
                mChannel.eventLoop().execute(this::close);
            }
        }

        /** Closes the connection past gRPC's handler, which would wait for the calls to end. */
        private void close() {
            mChannel.pipeline().firstContext().close();
        }
    }

    /**
     * Counts what one call holds. A method that takes one message gets it when the client says that
     * it was the last; the message counts until the call ends. A method that takes many messages
     * takes each at once; between them only the open call counts.
     */
    private final class CallBytes extends ServerStreamTracer {
        private Connection mConnection;
        private boolean mTakesOneMessage;
        private int mBytes;

        @Override
        public synchronized void serverCallStarted(ServerCallInfo<?, ?> call) {
            mConnection =
                    mConnections.get(call.getAttributes().get(Grpc.TRANSPORT_ATTR_REMOTE_ADDR));
            MethodType type = call.getMethodDescriptor().getType();
            mTakesOneMessage = type.clientSendsOneMessage();
            if (mConnection != null) {
                mConnection.begin();
                add(CALL_BYTES);
            }
        }

        @Override
        public synchronized void inboundWireSize(long bytes) {
            add((int) bytes);
        }

        @Override
        public synchronized void inboundMessageRead(int sequence, long wireBytes, long bytes) {
            if (!mTakesOneMessage) {
                add(CALL_BYTES - mBytes);
            }
        }

        @Override
        public synchronized void streamClosed(Status status) {
            add(-mBytes);
            if (mConnection != null) {
                mConnection.end();
                mConnection = null;
            }
        }

        private void add(int bytes) {
            if (mConnection != null && bytes != 0) {
                mBytes += bytes;
                mConnection.add(bytes);
            }
        }
    }
}
