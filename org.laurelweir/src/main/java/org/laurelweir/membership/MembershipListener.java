package org.laurelweir.membership;

/** Told of each change of the backend servers that are there, for the log. */
@FunctionalInterface
public interface MembershipListener {
    /**
     * Called after a change.
     *
     * @param backend as it is now
     * @param reason why, one of a few fixed words
     * @param own whether this control instance vouches for it, rather than a peer
     */
    void changed(Backend backend, String reason, boolean own);
}
