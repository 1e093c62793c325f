package org.laurelweir.runtime.rpc;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.socket.SocketChannel;
import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import org.junit.jupiter.api.Test;
import org.laurelweir.errors.LaurelweirException;
import org.laurelweir.lib.ResultCode;
import org.laurelweir.runtime.config.Endpoint;

/** Tests a socket that listens while its program still loads. */
class EarlySocketTest {
    private static final Endpoint ANY_PORT = Endpoint.parse("127.0.0.1:0");
    private static final int TIMEOUT_MILLIS = 10_000;

    private static final class Echo extends ChannelInitializer<SocketChannel> {
        @Override
        protected void initChannel(SocketChannel channel) {
            channel.pipeline()
                    .addLast(
                            new ChannelInboundHandlerAdapter() {
                                @Override
                                public void channelRead(ChannelHandlerContext c, Object message) {
                                    c.writeAndFlush(message);
                                }
                            });
        }
    }

    @Test
    void connectionOpenedBeforeStartIsServedAfterStart() throws IOException {
        // A caller connects and sends while a restarted router still loads its classes. Without a
        // listening socket, the connection would be reset. The caller gets its answer once the
        // server runs.
        EarlySocket socket = EarlySocket.open(ANY_PORT);
        int port = socket.channel().socket().getLocalPort();
        try (Socket caller = new Socket(InetAddress.getLoopbackAddress(), port)) {
            caller.setSoTimeout(TIMEOUT_MILLIS);
            caller.getOutputStream().write('x');
            EventLoops loops = new EventLoops("test", 1);
            Channel listening =
                    loops.listen(socket, new ChannelInboundHandlerAdapter(), new Echo());
            assertThat(caller.getInputStream().read()).isEqualTo('x');
            listening.close().awaitUninterruptibly();
            loops.stop();
        }
    }

    @Test
    void rejectsAnAddressInUse() throws IOException {
        EarlySocket first = EarlySocket.open(ANY_PORT);
        Endpoint taken = ANY_PORT.withPort(first.channel().socket().getLocalPort());
        assertThatThrownBy(() -> EarlySocket.open(taken))
                .isInstanceOfSatisfying(
                        LaurelweirException.class,
                        e -> assertThat(e.getCode()).isEqualTo(ResultCode.CANNOT_LISTEN));
        first.channel().close();
    }
}
