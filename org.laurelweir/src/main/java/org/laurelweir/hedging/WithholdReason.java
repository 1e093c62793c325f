package org.laurelweir.hedging;

import java.util.Locale;

/** Why a slow request is not hedged. */
public enum WithholdReason {
    /** The route permits no further backend server. */
    ATTEMPTS_USED,
    /** The request, or a part of its prompt, may have ended a backend server. */
    SUSPECT,
    /**
     * A copy is not likely to meet the objective, or too little time is left until the deadline.
     */
    TOO_LATE,
    /** No recent figure tells how much of the service's capacity is in use. */
    LOAD_UNKNOWN,
    /** Too much of the service's capacity is in use. */
    OVERLOADED,
    /** The service's share of hedged requests is used up. */
    SHARE_USED,
    /** No other backend server may get the copy. */
    NO_SERVER,
    /** The budget that retries and hedged requests share is used up. */
    RETRIES_USED;

    /** Returns the word for decision logs and metrics. */
    public String word() {
        return name().toLowerCase(Locale.ROOT);
    }
}
