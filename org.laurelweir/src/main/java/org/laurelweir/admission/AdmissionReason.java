package org.laurelweir.admission;

import java.util.Locale;

/**
 * Why a sidecar started, queued, redirected or refused an attempt. Decision logs show the name in
 * lower case.
 */
public enum AdmissionReason {
    /** The work fits under the bound. */
    WITHIN_BOUND,
    /** The attempt starts after it has waited in the queue. */
    WAITED,
    /** The attempt waits in the queue until its work fits under the bound. */
    QUEUED,
    /** The work does not fit under the bound. */
    OVER_BOUND,
    /** The attempt reached the maximum age of the queue. */
    QUEUE_AGE,
    /** The queue is full, and fair queueing selected this attempt for eviction. */
    QUEUE_FULL,
    /** The attempt can't complete before its deadline. */
    DEADLINE,
    /** The backend server drains or its sidecar stops. */
    DRAINING,
    /** The backend server asked for backoff. */
    BACKOFF,
    /** The sidecar can't reach the backend server. */
    UNREACHABLE,
    /** The chat's history is on another backend server. */
    CHAT_ELSEWHERE;

    /** Returns the reason as decision logs show it. */
    public String text() {
        return name().toLowerCase(Locale.ROOT);
    }
}
