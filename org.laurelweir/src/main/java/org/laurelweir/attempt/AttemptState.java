package org.laurelweir.attempt;

/** A sidecar's answer to a revocation. */
public enum AttemptState {
    /** Not started, and from now on it can't be: only this one may be called "not run". */
    NEVER_STARTED,
    RUNNING,
    FINISHED,
    /** The sidecar was restarted since the attempt was sent: it can't tell. */
    OTHER_INCARNATION
}
