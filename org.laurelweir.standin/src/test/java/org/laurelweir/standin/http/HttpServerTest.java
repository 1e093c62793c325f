package org.laurelweir.standin.http;

import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.net.Socket;
import org.junit.jupiter.api.Test;
import org.laurelweir.runtime.config.Endpoint;

/** What a stand-in's server leaves behind when it stops. */
class HttpServerTest {
    private static final int STOPS = 2_000;
    private static final int CONNECT_MILLIS = 5_000;

    // A stopped server went on listening, and whoever called it waited for an answer until the
    // deadline in place of being refused.
    @Test
    void aStoppedServerRefusesConnections() {
        for (int i = 0; i < STOPS; i++) {
            HttpServer server = new HttpServer(Endpoint.parse("127.0.0.1:0"), call -> {});
            server.start();
            InetSocketAddress address = server.address();
            server.stop();
            assertThatThrownBy(() -> connect(address))
                    .as("stop %d", i)
                    .isInstanceOf(ConnectException.class);
        }
    }

    private static void connect(InetSocketAddress address) throws IOException {
        try (Socket socket = new Socket()) {
            socket.connect(address, CONNECT_MILLIS);
        }
    }
}
