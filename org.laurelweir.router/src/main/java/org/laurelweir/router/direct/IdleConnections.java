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

    private final Map<String, Deque<Idle>> mByBackend = new HashMap<>();

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
        Deque<Idle> idle =
                mByBackend.computeIfAbsent(connection.backend(), b -> new ArrayDeque<>());
        idle.push(new Idle(connection, System.nanoTime() + idleTime.toNanos()));
        if (idle.size() > MOST_PER_BACKEND) {
            idle.removeLast().connection().close();
        }
    }

    /** Takes a connection to a backend server, or returns null where none is fit for use. */
    BackendConnection take(String backend) {
        Deque<Idle> idle = mByBackend.get(backend);
        while (idle != null && !idle.isEmpty()) {
            Idle newest = idle.pop();
            if (newest.untilNanos() - System.nanoTime() > 0 && newest.connection().isOpen()) {
                return newest.connection();
            }
            newest.connection().close();
        }
        return null;
    }

    void remove(BackendConnection connection) {
        Deque<Idle> idle = mByBackend.get(connection.backend());
        if (idle == null) {
            return;
        }
        Iterator<Idle> each = idle.iterator();
        while (each.hasNext()) {
            if (each.next().connection() == connection) {
                each.remove();
            }
        }
        if (idle.isEmpty()) {
            mByBackend.remove(connection.backend());
        }
    }
}
