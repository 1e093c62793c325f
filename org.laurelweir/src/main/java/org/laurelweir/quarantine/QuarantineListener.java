package org.laurelweir.quarantine;

/** Told of requests that are kept away from backend servers, or not any more. */
@FunctionalInterface
public interface QuarantineListener {
    /**
     * A request's state has changed.
     *
     * @param record what is known of it
     * @param quarantined whether it is kept away from now on
     */
    void changed(CrashRecord record, boolean quarantined);
}
