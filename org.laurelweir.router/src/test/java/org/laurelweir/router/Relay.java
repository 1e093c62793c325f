package org.laurelweir.router;

import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/** A TCP relay that can close its open connections or silently drop their data. */
final class Relay implements AutoCloseable {
    private final int mTarget;
    private final ServerSocket mListener;
    private final List<Link> mLinks = new CopyOnWriteArrayList<>();

    /** One connection through the relay. */
    private static final class Link {
        private final Socket mClient;
        private final Socket mServer;
        private volatile boolean mBlackholed;

        Link(Socket client, Socket server) {
            mClient = client;
            mServer = server;
        }
    }

    Relay(int target) throws IOException {
        mTarget = target;
        mListener = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        daemon(this::accept);
    }

    int port() {
        return mListener.getLocalPort();
    }

    /** Drops all further data on the open connections without closing them. New ones work. */
    void blackholeOpenConnections() {
        mLinks.forEach(l -> l.mBlackholed = true);
    }

    /** Closes the open connections. New ones work. */
    void closeOpenConnections() throws IOException {
        for (Link l : mLinks) {
            l.mClient.close();
        }
    }

    private void accept() {
        try {
            while (true) {
                Socket client = mListener.accept();
                Link link = new Link(client, new Socket(InetAddress.getLoopbackAddress(), mTarget));
                mLinks.add(link);
                daemon(() -> copy(link, link.mClient, link.mServer));
                daemon(() -> copy(link, link.mServer, link.mClient));
            }
        } catch (IOException e) {
            // The relay was closed.
        }
    }

    private static void copy(Link link, Socket from, Socket to) {
        byte[] buffer = new byte[1 << 16];
        try (from;
                to) {
            InputStream in = from.getInputStream();
            for (int n = in.read(buffer); n >= 0; n = in.read(buffer)) {
                if (!link.mBlackholed) {
                    to.getOutputStream().write(buffer, 0, n);
                }
            }
        } catch (IOException e) {
            // One side is closed. Closing both sockets notifies the other side.
        }
    }

    private static void daemon(Runnable work) {
        Thread thread = new Thread(work, "relay");
        thread.setDaemon(true);
        thread.start();
    }

    @Override
    public void close() {
        try {
            mListener.close();
            for (Link l : mLinks) {
                l.mClient.close();
                l.mServer.close();
            }
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
