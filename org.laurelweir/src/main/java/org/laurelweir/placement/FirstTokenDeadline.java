package org.laurelweir.placement;

import java.time.Duration;

/**
 * Decides whether the wait at a server, rather than the request's own prompt, makes its first token
 * late.
 */
public final class FirstTokenDeadline {
    private FirstTokenDeadline() {}

    /**
     * Returns whether the wait at this server is acceptable for a request's deadline. A prompt too
     * long for the deadline even on an idle engine is not refused: it would be late on any server
     * and at any later time. So the prompts queued before it may take the part of the deadline that
     * its own prompt leaves, and in any case {@code grace}.
     *
     * @param ahead time that the prompts queued before it take
     * @param own time that its own prompt takes
     * @param left time until the deadline
     * @param grace wait that is always acceptable
     */
    public static boolean isReachable(Duration ahead, Duration own, Duration left, Duration grace) {
        return ahead.compareTo(grace) <= 0 || ahead.plus(own).compareTo(left) <= 0;
    }
}
