package org.laurelweir.sidecar;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/** A backend server that answers small requests, and never reads the body of a large one. */
final class PartlyStuckBackend implements AutoCloseable {
    private static final int MAX_READ_BYTES = 1 << 10;
    private static final byte[] ANSWER = "ok".getBytes(StandardCharsets.US_ASCII);

    private final ExecutorService mThreads = Executors.newCachedThreadPool();
    private final CountDownLatch mClosed = new CountDownLatch(1);
    private final HttpServer mServer;

    PartlyStuckBackend() throws IOException {
        mServer = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 64);
        mServer.setExecutor(mThreads);
        mServer.createContext("/", this::handle);
        mServer.start();
    }

    int port() {
        return mServer.getAddress().getPort();
    }

    private void handle(HttpExchange exchange) throws IOException {
        String length = exchange.getRequestHeaders().getFirst("Content-Length");
        if (length != null && Integer.parseInt(length) > MAX_READ_BYTES) {
            awaitClosed();
        }
        exchange.sendResponseHeaders(200, ANSWER.length);
        exchange.getResponseBody().write(ANSWER);
        exchange.close();
    }

    private void awaitClosed() throws IOException {
        try {
            mClosed.await();
        } catch (InterruptedException e) {
            throw new UncheckedIOException(new IOException(e));
        }
    }

    @Override
    public void close() {
        mClosed.countDown();
        mServer.stop(0);
        mThreads.shutdownNow();
    }
}
