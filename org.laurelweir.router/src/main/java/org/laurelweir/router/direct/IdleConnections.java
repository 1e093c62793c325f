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

/** The connections that wait for another request, the one used last first. Only on one thread. */
final class IdleConnections {
    private static final FluentLogger sLogger = FluentLogger.forEnclosingClass();

    /** More than a router has requests to one server at once, outside of surges. */
    private static final int MOST_PER_BACKEND = 32;

    /**
     * How much sooner than its server a connection is given up. A request sent as the server closes
     * the connection is lost with an unknown outcome; a round trip and a late timer fit in here.
     */
    private static final Duration MARGIN = Duration.ofMillis(300);

    /** For servers that tell no time: shorter than a second, of which they would tell. */
    private static final Duration UNTOLD = Duration.ofMillis(300);

    private static final String TIMEOUT = "timeout=";

    private final Map<String, Pool> mByName = new HashMap<>();

    /** The connections to one start of a backend server. */
    private record Pool(BackendRef backend, Deque<Idle> idle) {}

    private record Idle(BackendConnection connection, long untilNanos) {}

    /** Returns how long a connection may be kept, from what its server tells about it. */
    static Duration idleTime(String keepAlive) {
        for (String part : keepAlive.split(",")) {
            String p = part.strip().toLowerCase(Locale.ROOT);
            if (p.startsWith(TIMEOUT)) {
                return parse(p.substring(TIMEOUT.length()));
            }
        }
        return UNTOLD;
    }

    private static Duration parse(String seconds) {
        try {
            Duration told = Duration.ofSeconds(Long.parseLong(seconds.strip()));
            Duration kept = told.minus(MARGIN);
            return kept.isNegative() ? Duration.ZERO : kept;
        } catch (NumberFormatException e) {
            sLogger.atInfo().atMostEvery(1, TimeUnit.MINUTES).log(
                    "idle time \"%s\" of a backend server can't be read, connection not kept",
                    seconds);
            return Duration.ZERO;
        }
    }

    void put(BackendConnection connection, Duration idleTime) {
        BackendRef backend = connection.backend();
        if (isOver(backend)) {
            connection.close();
            return;
        }
        Deque<Idle> idle = pool(backend);
        idle.push(new Idle(connection, System.nanoTime() + idleTime.toNanos()));
        if (idle.size() > MOST_PER_BACKEND) {
            idle.removeLast().connection().close();
        }
    }

    /** Takes a connection to a backend server, or returns null where none is fit for use. */
    BackendConnection take(BackendRef backend) {
        if (isOver(backend)) {
            return null;
        }
        Deque<Idle> idle = pool(backend);
        while (!idle.isEmpty()) {
            Idle newest = idle.pop();
            if (newest.untilNanos() - System.nanoTime() > 0 && newest.connection().isOpen()) {
                return newest.connection();
            }
            newest.connection().close();
        }
        mByName.remove(backend.id());
        return null;
    }

    /** Returns whether connections to a later start under the same name are kept. */
    private boolean isOver(BackendRef backend) {
        Pool known = mByName.get(backend.id());
        return known != null && known.backend().incarnation() > backend.incarnation();
    }

    /**
     * Returns the connections to a start of a backend server. Those to its run before are closed:
     * it may have crashed without a word, and a request sent to it would wait for an answer in
     * vain.
     */
    private Deque<Idle> pool(BackendRef backend) {
        Pool known = mByName.get(backend.id());
        if (known != null && known.backend().equals(backend)) {
            return known.idle();
        }
        Pool made = new Pool(backend, new ArrayDeque<>());
        mByName.put(backend.id(), made);
        if (known != null) {
            known.idle().forEach(i -> i.connection().close());
        }
        return made.idle();
    }

    void remove(BackendConnection connection) {
        Pool pool = mByName.get(connection.backend().id());
        if (pool == null || !pool.backend().equals(connection.backend())) {
            return;
        }
        Iterator<Idle> each = pool.idle().iterator();
        while (each.hasNext()) {
            if (each.next().connection() == connection) {
                each.remove();
            }
        }
        if (pool.idle().isEmpty()) {
            mByName.remove(connection.backend().id());
        }
    }
}
