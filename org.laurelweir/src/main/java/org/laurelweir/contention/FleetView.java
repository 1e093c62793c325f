package org.laurelweir.contention;

import java.time.Instant;
import org.laurelweir.lib.BackendRef;

/** What a router knows about the demand of all routers. */
public interface FleetView {
    /**
     * Returns the tokens that the requests of all routers hold at a backend server. Of a backend
     * server of unknown demand it returns the mean of the service, and never less than this
     * router's own requests hold there.
     */
    double tokens(Instant now, String service, BackendRef ref);

    /**
     * Returns the share of the latest requests at a backend server that it failed, from 0 to 1; 0
     * if too few have ended to tell.
     */
    double failureRate(Instant now, BackendRef ref);

    /** Returns the tokens that a client account has in flight at all routers. */
    double accountTokens(Instant now, String account);

    /** Returns the mean tokens in flight of the client accounts that have any; 0 if none has. */
    double meanAccountTokens(Instant now);

    /**
     * Returns the age in milliseconds of the demand of all routers that control has sent; NaN if it
     * is too old, so that only this router's own requests are known.
     */
    double ageMillis(Instant now);
}
