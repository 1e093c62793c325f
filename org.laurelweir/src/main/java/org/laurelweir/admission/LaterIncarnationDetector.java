package org.laurelweir.admission;

import org.laurelweir.lib.BackendRef;
import org.laurelweir.membership.Backend;
import org.laurelweir.membership.MembershipDelta;

/**
 * Looks for a later incarnation of this sidecar. An incarnation is the clock at the start, and has
 * to rise: where the clock went back, control takes this run for the one before, so that nothing
 * which it announces is heard, and routers send it nothing or are refused. A departed run counts as
 * well; it is what a restart usually finds. The look is repeated until this run can go on as a
 * later one, for an instance that was cut off may tell of the earlier run only when work runs here.
 */
final class LaterIncarnationDetector {
    private final BackendRef mSelf;
    private long mLatestIncarnation;

    LaterIncarnationDetector(BackendRef self) {
        mSelf = self;
        mLatestIncarnation = self.incarnation();
    }

    /** Notes what a control instance knows of this sidecar's runs. */
    void onMembership(MembershipDelta delta) {
        for (Backend b : delta.backends()) {
            if (b.ref().id().equals(mSelf.id())) {
                mLatestIncarnation = Math.max(mLatestIncarnation, b.ref().incarnation());
            }
        }
    }

    /**
     * Tells of a later run, if there is one.
     *
     * @param idle whether nothing runs or waits here
     */
    void reportLater(Step step, boolean idle) {
        if (mLatestIncarnation > mSelf.incarnation()) {
            step.emit(new SidecarEffect.Superseded(mLatestIncarnation, idle));
        }
    }
}
