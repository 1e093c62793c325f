package org.laurelweir.attempt;

/** The state of an attempt, as a sidecar reports it in reply to a revocation. */
public enum AttemptState {
    /** The attempt has not started and never will. Only this state may be reported as "not run". */
    NEVER_STARTED,
    /** The attempt runs. */
    RUNNING,
    /** The attempt ran or may have run, and has ended. */
    FINISHED,
    /**
     * The sidecar can't tell: it was restarted since the attempt was sent, or it has forgotten the
     * attempt.
     */
    OTHER_INCARNATION
}
