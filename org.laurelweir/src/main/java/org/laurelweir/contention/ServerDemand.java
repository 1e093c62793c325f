package org.laurelweir.contention;

import org.laurelweir.lib.BackendRef;

/**
 * The demand of one or more routers at a backend server.
 *
 * @param server the incarnation of the backend server
 * @param tokens tokens that their requests hold in its memory
 * @param ended number of their requests that ended there lately, whichever way
 * @param failed number of those that the backend server failed
 */
public record ServerDemand(BackendRef server, long tokens, int ended, int failed) {
    /**
     * Minimum number of ended requests for a failure rate. Of fewer, a single failure would make a
     * rate of over a fifth, although the server may work.
     */
    static final int MIN_ENDED = 5;

    /** Failure rate above which a digest lists a backend server, whatever its tokens. */
    static final double NOTABLE_FAILURE_RATE = 0.05;

    /** Returns the share of the ended requests that failed; 0 if too few have ended to tell. */
    public double failureRate() {
        return ended < MIN_ENDED ? 0 : (double) Math.min(failed, ended) / ended;
    }
}
