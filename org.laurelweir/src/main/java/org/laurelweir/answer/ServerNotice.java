package org.laurelweir.answer;

import java.time.Duration;

/**
 * What a backend server says of itself in the head of an answer. It concerns all requests that the
 * receiver would send to the server, not only the one that is answered.
 *
 * @param backoff how long the server wants no further request from the receiver, or zero
 * @param leaving whether the server is about to stop and should get no new request
 */
public record ServerNotice(Duration backoff, boolean leaving) {
    /** A head that says nothing of the server. */
    public static final ServerNotice NONE = new ServerNotice(Duration.ZERO, false);

    /** Returns whether the server asks for backoff. */
    public boolean asksForBackoff() {
        return !backoff.isZero();
    }
}
