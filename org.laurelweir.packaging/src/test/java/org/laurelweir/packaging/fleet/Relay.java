package org.laurelweir.packaging.fleet;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import org.laurelweir.junit.Await;

/**
 * Forwards TCP connections. It can lose track of those that are open, in one direction or both, and
 * hold back what is sent on them; new ones work, and wait while the target does not listen.
 */
public final class Relay implements AutoCloseable {
    private static final int BUFFER_BYTES = 1 << 16;

    private final InetSocketAddress mTarget;
    private final ServerSocket mListener;
    private final List<Pipe> mTowards = new CopyOnWriteArrayList<>();
    private final List<Pipe> mBack = new CopyOnWriteArrayList<>();

    /** One direction of a connection through the relay. */
    private static final class Pipe {
        private enum Mode {
            PASS,
            DROP,
            HOLD
        }

        private final Socket mFrom;
        private final Socket mTo;
        private final ByteArrayOutputStream mHeld = new ByteArrayOutputStream();
        private Mode mMode = Mode.PASS;

        Pipe(Socket from, Socket to) {
            mFrom = from;
            mTo = to;
        }

        void copy() {
            byte[] buffer = new byte[BUFFER_BYTES];
            try {
                int n = mFrom.getInputStream().read(buffer);
                while (n >= 0) {
                    take(buffer, n);
                    n = mFrom.getInputStream().read(buffer);
                }
            } catch (IOException e) {
                // One end is gone; closing both tells the other.
            }
            if (!isHolding()) {
                close();
            }
        }

        private synchronized boolean isHolding() {
            return mMode == Mode.HOLD;
        }

        private synchronized void take(byte[] bytes, int count) throws IOException {
            if (mMode == Mode.PASS) {
                mTo.getOutputStream().write(bytes, 0, count);
            } else if (mMode == Mode.HOLD) {
                mHeld.write(bytes, 0, count);
            }
        }

        synchronized void set(Mode mode) {
            mMode = mode;
        }

        synchronized void release() {
            try {
                mHeld.writeTo(mTo.getOutputStream());
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
            mHeld.reset();
            mMode = Mode.PASS;
        }

        void close() {
            try {
                mFrom.close();
                mTo.close();
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
        }
    }

    /**
     * Listens.
     *
     * @param target where to forward to
     */
    Relay(InetSocketAddress target) {
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
        mTowards.forEach(p -> p.set(Pipe.Mode.DROP));
    }

    /** Drops what the target sends on the open connections; new ones work. */
    public void silenceBack() {
        mBack.forEach(p -> p.set(Pipe.Mode.DROP));
    }

    /** Holds back what is sent to the target on the open connections; new ones work. */
    public void holdTowards() {
        mTowards.forEach(p -> p.set(Pipe.Mode.HOLD));
    }

    /** Delivers, late, what was held back. */
    public void release() {
        mTowards.stream().filter(Pipe::isHolding).forEach(Pipe::release);
    }

    /** Closes the open connections. */
    public void cut() {
        mTowards.forEach(Pipe::close);
    }

    private void accept() {
        try {
            while (true) {
                Socket near = mListener.accept();
                daemon(() -> forward(near));
            }
        } catch (IOException e) {
            // The relay was closed.
        }
    }

    private void forward(Socket near) {
        Await.until("the target listens", () -> mListener.isClosed() || connect(near));
    }

    private boolean connect(Socket near) {
        try {
            Socket far = new Socket(mTarget.getAddress(), mTarget.getPort());
            mTowards.add(start(new Pipe(near, far)));
            mBack.add(start(new Pipe(far, near)));
            return true;
        } catch (IOException e) {
            return false;
        }
    }

    private static Pipe start(Pipe pipe) {
        daemon(pipe::copy);
        return pipe;
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
