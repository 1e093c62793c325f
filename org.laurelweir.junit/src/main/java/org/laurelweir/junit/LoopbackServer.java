package org.laurelweir.junit;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;

/** A server socket on a free port of the loopback address, for servers that tests write. */
public final class LoopbackServer implements AutoCloseable {
    /** Takes over a new connection. Called on the thread that accepts connections. */
    @FunctionalInterface
    public interface Acceptor {
        /**
         * Takes over a connection.
         *
         * @throws IOException if no more connections are to be accepted
         */
        void accept(Socket socket) throws IOException;
    }

    private static final int BACKLOG = 64;

    private final ServerSocket mServer;
    private final String mName;

    /**
     * Opens the socket. Connections wait until {@link #start} is called.
     *
     * @param name name of the thread that accepts connections
     */
    public LoopbackServer(String name) {
        mName = name;
        try {
            mServer = new ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress());
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Accepts connections from now on. */
    public void start(Acceptor acceptor) {
        runDaemon(mName, () -> acceptAll(acceptor));
    }

    private void acceptAll(Acceptor acceptor) {
        while (!mServer.isClosed()) {
            try {
                acceptor.accept(mServer.accept());
            } catch (IOException e) {
                // The server was closed at the end of the test.
                return;
            }
        }
    }

    /** Runs a task on a thread of its own, which does not keep the process running. */
    public static void runDaemon(String name, Runnable task) {
        Thread thread = new Thread(task, name);
        thread.setDaemon(true);
        thread.start();
    }

    /** Returns the port that the server listens on. */
    public int port() {
        return mServer.getLocalPort();
    }

    /** Accepts no more connections. Those that were accepted stay open. */
    @Override
    public void close() {
        try {
            mServer.close();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
