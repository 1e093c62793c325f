package org.laurelweir.standin.http;

import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.net.Socket;
import org.junit.jupiter.api.Test;
import org.laurelweir.runtime.config.Endpoint;

/** Checks that a stand-in's HTTP server closes its sockets when it stops. */
class HttpServerTest {
    private static final int STOP_COUNT = 2_000;
    private static final int CONNECT_TIMEOUT_MILLIS = 5_000;

    // A stopped server that still listens makes its callers wait until their deadline, because
    // their connections are not refused. Stopping the server once does not show the fault reliably,
    // so the test repeats it.
    @Test
    void stoppedServerRefusesConnections() {
        for (int i = 0; i < STOP_COUNT; i++) {
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
            socket.connect(address, CONNECT_TIMEOUT_MILLIS);
        }
    }
}
