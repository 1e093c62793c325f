package org.laurelweir.admission;

import java.util.Locale;

/** Why a sidecar took, passed on or refused a request; decisions show it in lower case. */
public enum AdmissionReason {
    /** Its work fits under the bound. */
    WITHIN_BOUND,
    /** Its turn came after a wait. */
    WAITED,
    /** It waits for room. */
    QUEUED,
    /** Its work does not fit under the bound. */
    OVER_BOUND,
    /** It waited as long as a request may. */
    QUEUE_AGE,
    /** The queue is full, and this request had the least claim to its place. */
    QUEUE_FULL,
    /** It could not be answered before its deadline. */
    DEADLINE,
    /** The backend server leaves. */
    DRAINING,
    /** The backend server can't be reached. */
    UNREACHABLE,
    /** The chat's history is on another backend server. */
    CHAT_ELSEWHERE;

    /** Returns the word that a decision shows. */
    public String text() {
        return name().toLowerCase(Locale.ROOT);
    }
}
