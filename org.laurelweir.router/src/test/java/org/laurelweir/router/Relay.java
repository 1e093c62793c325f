package org.laurelweir.router;

import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/** Stands between two ends and can lose track of the connections that are open. */
final class Relay implements AutoCloseable {
    private final int mTarget;
    private final ServerSocket mListener;
    private final List<Link> mLinks = new CopyOnWriteArrayList<>();

    /** One connection through the relay. */
    private static final class Link {
        private final Socket mNear;
        private final Socket mFar;
        private volatile boolean mForgotten;

        Link(Socket near, Socket far) {
            mNear = near;
            mFar = far;
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

    /** From now on drops what arrives on the connections that are open; new ones work. */
    void forgetOpenConnections() {
        mLinks.forEach(l -> l.mForgotten = true);
    }

    /** Ends the connections that are open; new ones work. */
    void cutOpenConnections() throws IOException {
        for (Link l : mLinks) {
            l.mNear.close();
        }
    }

    private void accept() {
        try {
            while (true) {
                Socket near = mListener.accept();
                Link link = new Link(near, new Socket(InetAddress.getLoopbackAddress(), mTarget));
                mLinks.add(link);
                daemon(() -> copy(link, link.mNear, link.mFar));
                daemon(() -> copy(link, link.mFar, link.mNear));
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
                if (!link.mForgotten) {
                    to.getOutputStream().write(buffer, 0, n);
                }
            }
        } catch (IOException e) {
            // One end is gone; closing both tells the other.
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
                l.mNear.close();
                l.mFar.close();
            }
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
