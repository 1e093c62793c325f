package org.laurelweir.placement;

/** A sidecar's decision about a request that reached the server where it should run. */
public enum BoundDecision {
    /** Run the request here now. */
    ADMIT,
    /** Redirect the request to another server. */
    REDIRECT,
    /** Hold the request for a short time, until a running request ends. */
    WAIT,
    /** Reject the request at once as not run, with the time after which to retry. */
    REJECT
}
