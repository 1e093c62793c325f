package org.laurelweir.quarantine;

/** Receives the changes of the quarantine. */
@FunctionalInterface
public interface QuarantineListener {
    /**
     * Called when a request is quarantined or released.
     *
     * @param record the crashes under the request
     * @param quarantined true if the request is quarantined from now on, false if it is released
     */
    void changed(CrashRecord record, boolean quarantined);
}
