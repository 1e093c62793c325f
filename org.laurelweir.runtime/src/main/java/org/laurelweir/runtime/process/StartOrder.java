package org.laurelweir.runtime.process;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.laurelweir.runtime.config.Endpoint;

/**
 * Lets a program that starts on the same instance go first. After a stop of everything a router can
 * serve nobody until control has a leader. Where both load their classes on one small core at the
 * same time, control is ready 0.5 s later than alone, and all routers wait for it, those on other
 * instances included.
 */
public final class StartOrder {
    /**
     * The longest wait: a control instance that starts alone listens after 0.7 s. One that does not
     * start at all holds a router up by no more than this.
     */
    private static final Duration LONGEST_WAIT = Duration.ofMillis(800);

    private static final Duration PAUSE = Duration.ofMillis(20);
    private static final int CONNECT_MILLIS = 100;

    private StartOrder() {}

    /**
     * Returns the control instance beside a program, if one is among those that it knows.
     *
     * @param self where the program itself is reached
     * @param controls where control instances are reached
     */
    public static Optional<Endpoint> beside(Endpoint self, List<Endpoint> controls) {
        return controls.stream().filter(c -> c.host().equals(self.host())).findFirst();
    }

    /**
     * Waits until something listens at an address, for a short time at most. Returns at once where
     * it does, as when this program alone was stopped.
     *
     * @param first where the program that goes first listens once it is loaded
     * @return whether it listens
     */
    public static boolean awaitListening(Endpoint first) {
        long until = System.nanoTime() + LONGEST_WAIT.toNanos();
        while (!isListening(first)) {
            if (System.nanoTime() - until >= 0) {
                return false;
            }
            try {
                Thread.sleep(PAUSE.toMillis());
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                return false;
            }
        }
        return true;
    }

    private static boolean isListening(Endpoint endpoint) {
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(endpoint.host(), endpoint.port()), CONNECT_MILLIS);
            return true;
        } catch (IOException e) {
            // The ordinary answer while it starts; what comes of it is returned.
            return false;
        }
    }
}
