package org.laurelweir.placement;

/** What a sidecar does with a request that reached the server where it is to run. */
public enum BoundDecision {
    /** Run it here now. */
    ADMIT,
    /** Send it to the next in rank. */
    REDIRECT,
    /** Hold it for a short time until a running request ends. */
    WAIT,
    /** Answer at once that it was not run, with the time to come back. */
    REJECT
}
