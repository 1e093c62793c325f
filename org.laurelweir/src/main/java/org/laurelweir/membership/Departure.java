package org.laurelweir.membership;

import java.time.Instant;
import org.laurelweir.lib.BackendRef;

/**
 * The acknowledged word of a backend server that it is draining or has left. It is kept in the
 * replicated log: an announcement that was sent earlier may arrive after all control instances have
 * been restarted, and must not bring the backend server back.
 *
 * @param server the backend server with its incarnation
 * @param state draining or left
 * @param session the number of the announcement; the highest number if it has left
 * @param expiry when it is forgotten, by the log's time
 */
public record Departure(BackendRef server, Backend.State state, int session, Instant expiry) {
    /** The session of an incarnation that has left; only a later incarnation supersedes it. */
    public static final int FINAL_SESSION = Integer.MAX_VALUE;

    /**
     * Returns whether another departure of this backend server adds nothing to this one. A server
     * that serves again and then drains once more has a later session.
     */
    public boolean covers(BackendRef other, Backend.State otherState, int otherSession) {
        if (server.incarnation() != other.incarnation()) {
            return server.incarnation() > other.incarnation();
        }
        return state.compareTo(otherState) >= 0 && session >= otherSession;
    }

    /** Returns whether an announcement was sent before this word, or by an earlier incarnation. */
    public boolean isLaterThan(Backend announced) {
        if (server.incarnation() != announced.ref().incarnation()) {
            return server.incarnation() > announced.ref().incarnation();
        }
        return session > announced.session();
    }
}
