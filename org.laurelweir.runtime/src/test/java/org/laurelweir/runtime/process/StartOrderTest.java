package org.laurelweir.runtime.process;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;
import org.laurelweir.runtime.config.Endpoint;

/** Which of two programs that start on one instance goes first. */
class StartOrderTest {
    private static final Endpoint SELF = Endpoint.parse("127.0.0.1:80");

    @Test
    void onlyAControlInstanceOnTheSameInstanceCounts() {
        Endpoint near = Endpoint.parse("127.0.0.1:8229");
        Endpoint far = Endpoint.parse("127.0.0.10:8229");
        assertThat(StartOrder.beside(SELF, List.of(far, near))).contains(near);
        assertThat(StartOrder.beside(SELF, List.of(far))).isEmpty();
    }

    @Test
    void aRouterGoesOnOnceControlListens() throws Exception {
        // Both are started at once after a loss of power. The router waits as long as control
        // needs to listen, and goes on then.
        try (ServerSocket control = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            Endpoint listening = SELF.withPort(control.getLocalPort());
            assertThat(
                            CompletableFuture.supplyAsync(
                                            () -> StartOrder.awaitListening(listening))
                                    .get())
                    .isTrue();
        }
    }

    @Test
    void aControlInstanceThatStaysAwayIsNotWaitedForForEver() throws IOException {
        Endpoint closed;
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            closed = SELF.withPort(socket.getLocalPort());
        }
        assertThat(StartOrder.awaitListening(closed)).isFalse();
    }
}
