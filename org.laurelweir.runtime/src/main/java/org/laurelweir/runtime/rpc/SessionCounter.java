package org.laurelweir.runtime.rpc;

import org.laurelweir.membership.Backend;
import org.laurelweir.membership.SidecarReport;

/**
 * Numbers the sessions of one incarnation of a sidecar. A new session starts when the sidecar moves
 * to another control instance, when control has considered the sidecar departed, and when the
 * sidecar serves again after a drain. Under the old session, such an announcement would look like
 * an older one that arrives late.
 */
final class SessionCounter {
    private int mSession = 1;
    private Backend.State mLastState = Backend.State.SERVING;

    synchronized SidecarReport stamp(SidecarReport r) {
        Backend b = r.backend();
        if (b.state().compareTo(mLastState) < 0) {
            mSession++;
        }
        mLastState = b.state();
        Backend stamped = b.withSession(mSession);
        return new SidecarReport(stamped, r.runningWork(), r.running(), r.waiting());
    }

    /** Starts a new session, after a move to another control instance. */
    synchronized void startSession() {
        mSession++;
    }

    /** Raises the session to the lowest one that control accepts from the sidecar. */
    synchronized void raiseTo(int minSession) {
        mSession = Math.max(mSession, minSession);
    }
}
