package org.laurelweir.placement;

import java.time.Duration;

/** Says whether waiting at a server is what makes a first token late. */
public final class FirstTokenDeadline {
    private FirstTokenDeadline() {}

    /**
     * Returns whether a request may be run here for its deadline's sake. A prompt so long that it
     * would be late on an idle engine is no reason to refuse: it would be late at any server and at
     * any later time. So what is ahead of it may take what its own prompt leaves of the deadline,
     * and never less than a grace.
     *
     * @param ahead how long the prompts take that are ahead of it
     * @param own how long its own prompt takes
     * @param left time to the deadline
     * @param grace the wait that is always accepted
     */
    public static boolean isReachable(Duration ahead, Duration own, Duration left, Duration grace) {
        return ahead.compareTo(grace) <= 0 || ahead.plus(own).compareTo(left) <= 0;
    }
}
