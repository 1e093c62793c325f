package org.laurelweir.membership;

/** Receives each change of the membership, for the log. */
@FunctionalInterface
public interface MembershipListener {
    /**
     * Called after a backend server changed.
     *
     * @param backend the backend server after the change
     * @param reason a short text that says why it changed
     * @param isOwn whether this control instance announced the change; false if a peer did
     */
    void changed(Backend backend, String reason, boolean isOwn);
}
