package org.laurelweir.runtime.rpc;

import org.laurelweir.membership.Backend;
import org.laurelweir.membership.SidecarReport;

/**
 * Counts the sessions of one run of a sidecar. A new one begins with another control instance, when
 * control has taken the sidecar for gone, and when it takes work again after draining: under the
 * old session such an announcement could not be told from one that was overtaken on its way.
 */
final class SessionCounter {
    private int mSession = 1;
    private Backend.State mLast = Backend.State.SERVING;

    synchronized SidecarReport stamp(SidecarReport r) {
        Backend b = r.backend();
        if (b.state().compareTo(mLast) < 0) {
            mSession++;
        }
        mLast = b.state();
        Backend stamped =
                new Backend(
                        b.ref(),
                        b.service(),
                        b.dataCentre(),
                        b.region(),
                        b.address(),
                        b.state(),
                        b.weight(),
                        mSession);
        return new SidecarReport(stamped, r.runningWork(), r.running(), r.waiting());
    }

    /** Begins a session with another control instance. */
    synchronized void moved() {
        mSession++;
    }

    /** Goes up to the least session under which control hears the sidecar. */
    synchronized void raise(int least) {
        mSession = Math.max(mSession, least);
    }
}
