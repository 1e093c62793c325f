package org.laurelweir.router.direct;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.laurelweir.lib.BackendRef;

/** A pool of idle connections. The last one returned is reused first. Not thread-safe. */
final class IdleConnections {
    private static final FluentLogger sLogger = FluentLogger.forEnclosingClass();

    /** Outside of surges a router has fewer concurrent requests to one server. */
    private static final int MAX_IDLE_PER_BACKEND = 32;

    /**
     * A connection expires this much earlier than the server would close it. The outcome of a
     * request that is sent while the server closes the connection is unknown. The margin covers a
     * round trip and a late timer.
     */
    private static final Duration EXPIRY_MARGIN = Duration.ofMillis(300);

    /**
     * For servers without a timeout in Keep-Alive. Below one second, the smallest timeout there.
     */
    private static final Duration DEFAULT_IDLE_TIME = Duration.ofMillis(300);

    /** Maximum of what is believed, so that times stay within the range of the clock. */
    private static final Duration MAX_TIMEOUT = Duration.ofHours(1);

    private static final String TIMEOUT_PARAMETER = "timeout=";

    private final Map<String, Pool> mPoolsById = new HashMap<>();

    /** The idle connections to one incarnation of a backend server. */
    private record Pool(BackendRef backend, Deque<Idle> idle) {}

    private record Idle(BackendConnection connection, long expiresAtNanos) {}

    /** Returns how long a connection may stay idle, given the value of its Keep-Alive header. */
    static Duration idleTime(String keepAlive) {
        for (String part : keepAlive.split(",")) {
            String p = part.strip().toLowerCase(Locale.ROOT);
            if (p.startsWith(TIMEOUT_PARAMETER)) {
                return parse(p.substring(TIMEOUT_PARAMETER.length()));
            }
        }
        return DEFAULT_IDLE_TIME;
    }

    private static Duration parse(String seconds) {
        try {
            long timeout = Math.max(0, Long.parseLong(seconds.strip()));
            long believed = Math.min(timeout, MAX_TIMEOUT.toSeconds());
            Duration idleTime = Duration.ofSeconds(believed).minus(EXPIRY_MARGIN);
            return idleTime.isNegative() ? Duration.ZERO : idleTime;
        } catch (NumberFormatException e) {
            sLogger.atInfo().atMostEvery(1, TimeUnit.MINUTES).log(
                    "closed a connection: malformed Keep-Alive timeout \"%s\", expected seconds",
                    seconds);
            return Duration.ZERO;
        }
    }

    void put(BackendConnection connection, Duration idleTime) {
        BackendRef backend = connection.backend();
        if (isSuperseded(backend)) {
            connection.close();
            return;
        }
        Deque<Idle> idle = pool(backend);
        idle.push(new Idle(connection, System.nanoTime() + idleTime.toNanos()));
        if (idle.size() > MAX_IDLE_PER_BACKEND) {
            idle.removeLast().connection().close();
        }
    }

    /** Removes and returns an open connection to a backend server, or returns null without one. */
    BackendConnection take(BackendRef backend) {
        if (isSuperseded(backend)) {
            return null;
        }
        Deque<Idle> idle = pool(backend);
        while (!idle.isEmpty()) {
            Idle newest = idle.pop();
            if (newest.expiresAtNanos() - System.nanoTime() > 0 && newest.connection().isOpen()) {
                return newest.connection();
            }
            newest.connection().close();
        }
        mPoolsById.remove(backend.id());
        return null;
    }

    /** Returns whether the pool holds connections to a later incarnation of the backend server. */
    private boolean isSuperseded(BackendRef backend) {
        Pool known = mPoolsById.get(backend.id());
        return known != null && known.backend().incarnation() > backend.incarnation();
    }

    /**
     * Returns the idle connections to an incarnation of a backend server. Closes the connections to
     * an earlier incarnation: it may have crashed without closing them, and a request sent over one
     * of them would never be answered.
     */
    private Deque<Idle> pool(BackendRef backend) {
        Pool known = mPoolsById.get(backend.id());
        if (known != null && known.backend().equals(backend)) {
            return known.idle();
        }
        Pool created = new Pool(backend, new ArrayDeque<>());
        mPoolsById.put(backend.id(), created);
        if (known != null) {
            known.idle().forEach(i -> i.connection().close());
        }
        return created.idle();
    }

    void remove(BackendConnection connection) {
        Pool pool = mPoolsById.get(connection.backend().id());
        if (pool == null || !pool.backend().equals(connection.backend())) {
            return;
        }
        Iterator<Idle> idle = pool.idle().iterator();
        while (idle.hasNext()) {
            if (idle.next().connection() == connection) {
                idle.remove();
            }
        }
        if (pool.idle().isEmpty()) {
            mPoolsById.remove(connection.backend().id());
        }
    }
}
