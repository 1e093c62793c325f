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
 * Forwards TCP connections to a target. On the connections that are open it can drop bytes in one
 * or both directions, or hold back the bytes to the target. New connections are not affected; they
 * wait while the target does not listen.
 */
public final class Relay implements AutoCloseable {
    private static final int BUFFER_BYTES = 1 << 16;

    private final InetSocketAddress mTarget;
    private final ServerSocket mListener;
    private final List<Pipe> mToTarget = new CopyOnWriteArrayList<>();
    private final List<Pipe> mFromTarget = new CopyOnWriteArrayList<>();

    /** One direction of a forwarded connection. */
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
                    handle(buffer, n);
                    n = mFrom.getInputStream().read(buffer);
                }
            } catch (IOException e) {
                // One side closed its socket; closing both sockets informs the other side.
            }
            if (!isHolding()) {
                close();
            }
        }

        private synchronized boolean isHolding() {
            return mMode == Mode.HOLD;
        }

        private synchronized void handle(byte[] bytes, int count) throws IOException {
            if (mMode == Mode.PASS) {
                mTo.getOutputStream().write(bytes, 0, count);
            } else if (mMode == Mode.HOLD) {
                mHeld.write(bytes, 0, count);
            }
        }

        synchronized void setMode(Mode mode) {
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
     * Listens on a free port of the loopback address.
     *
     * @param target the address to forward connections to
     */
    Relay(InetSocketAddress target) {
        mTarget = target;
        try {
            mListener = new ServerSocket(0, 0, InetAddress.getLoopbackAddress());
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        startDaemonThread(this::accept);
    }

    /** Returns the port that the relay listens on, at the loopback address. */
    public int port() {
        return mListener.getLocalPort();
    }

    /** Drops all bytes to the target on the open connections; new connections work. */
    public void dropBytesToTarget() {
        mToTarget.forEach(p -> p.setMode(Pipe.Mode.DROP));
    }

    /** Drops all bytes from the target on the open connections; new connections work. */
    public void dropBytesFromTarget() {
        mFromTarget.forEach(p -> p.setMode(Pipe.Mode.DROP));
    }

    /** Holds back all bytes to the target on the open connections; new connections work. */
    public void holdBytesToTarget() {
        mToTarget.forEach(p -> p.setMode(Pipe.Mode.HOLD));
    }

    /** Delivers the bytes that were held back, and forwards on these connections from then on. */
    public void deliverHeldBytes() {
        mToTarget.stream().filter(Pipe::isHolding).forEach(Pipe::release);
    }

    /** Closes the open connections; new connections work. */
    public void closeConnections() {
        mToTarget.forEach(Pipe::close);
    }

    private void accept() {
        try {
            while (true) {
                Socket client = mListener.accept();
                startDaemonThread(() -> forward(client));
            }
        } catch (IOException e) {
            // The relay was closed.
        }
    }

    private void forward(Socket client) {
        Await.until("the target listens", () -> mListener.isClosed() || connect(client));
    }

    private boolean connect(Socket client) {
        try {
            Socket target = new Socket(mTarget.getAddress(), mTarget.getPort());
            mToTarget.add(start(new Pipe(client, target)));
            mFromTarget.add(start(new Pipe(target, client)));
            return true;
        } catch (IOException e) {
            return false;
        }
    }

    private static Pipe start(Pipe pipe) {
        startDaemonThread(pipe::copy);
        return pipe;
    }

    private static void startDaemonThread(Runnable work) {
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
        closeConnections();
    }
}
