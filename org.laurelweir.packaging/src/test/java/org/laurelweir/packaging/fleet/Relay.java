package org.laurelweir.packaging.fleet;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.IntSupplier;

/** Forwards TCP connections and can lose track of those that are open, one direction or both. */
public final class Relay implements AutoCloseable {
    private static final int BUFFER_BYTES = 1 << 16;

    private final IntSupplier mTarget;
    private final ServerSocket mListener;
    private final List<Link> mLinks = new CopyOnWriteArrayList<>();

    /** One connection through the relay. */
    private static final class Link {
        private final Socket mNear;
        private final Socket mFar;
        private volatile boolean mTowardsSilent;
        private volatile boolean mBackSilent;

        Link(Socket near, Socket far) {
            mNear = near;
            mFar = far;
        }
    }

    /**
     * Listens.
     *
     * @param target the port to forward to, asked for each connection
     */
    Relay(IntSupplier target) {
        mTarget = target;
        try {
            mListener = new ServerSocket(0, 0, InetAddress.getLoopbackAddress());
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        daemon(this::accept);
    }

    /** Returns the port on the loopback address. */
    public int port() {
        return mListener.getLocalPort();
    }

    /** Drops what is sent to the target on the open connections; new ones work. */
    public void silenceTowards() {
        mLinks.forEach(l -> l.mTowardsSilent = true);
    }

    /** Drops what the target sends on the open connections; new ones work. */
    public void silenceBack() {
        mLinks.forEach(l -> l.mBackSilent = true);
    }

    /** Closes the open connections. */
    public void cut() {
        mLinks.forEach(Relay::close);
    }

    private void accept() {
        try {
            while (true) {
                forward(mListener.accept());
            }
        } catch (IOException e) {
            // The relay was closed.
        }
    }

    private void forward(Socket near) throws IOException {
        Socket far;
        try {
            far = new Socket(InetAddress.getLoopbackAddress(), mTarget.getAsInt());
        } catch (IOException e) {
            near.close();
            return;
        }
        Link link = new Link(near, far);
        mLinks.add(link);
        daemon(() -> copy(link, true));
        daemon(() -> copy(link, false));
    }

    private static void copy(Link link, boolean towards) {
        Socket from = towards ? link.mNear : link.mFar;
        Socket to = towards ? link.mFar : link.mNear;
        byte[] buffer = new byte[BUFFER_BYTES];
        try {
            for (int n = from.getInputStream().read(buffer); n >= 0; ) {
                if (!(towards ? link.mTowardsSilent : link.mBackSilent)) {
                    to.getOutputStream().write(buffer, 0, n);
                }
                n = from.getInputStream().read(buffer);
            }
        } catch (IOException e) {
            // One end is gone; closing both tells the other.
        }
        close(link);
    }

    private static void close(Link link) {
        try {
            link.mNear.close();
            link.mFar.close();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
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
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        cut();
    }
}
