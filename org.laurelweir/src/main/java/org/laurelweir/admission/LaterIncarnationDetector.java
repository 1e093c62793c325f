package org.laurelweir.admission;

import org.laurelweir.lib.BackendRef;
import org.laurelweir.membership.Backend;
import org.laurelweir.membership.MembershipDelta;

/**
 * Detects that control knows a later incarnation of this sidecar.
 *
 * <p>A sidecar's incarnation is the clock time of its start and has to rise. If the clock went back
 * before the start, control takes this run for an earlier one and ignores its announcements, and
 * routers send it nothing or are refused. A departed later incarnation counts as well; it is the
 * usual case after a restart.
 *
 * <p>The check is repeated until the sidecar continues as a still later incarnation. A control
 * instance that was cut off may report the other run only after attempts have started here.
 */
final class LaterIncarnationDetector {
    private final BackendRef mSelf;
    private long mLatestIncarnation;

    LaterIncarnationDetector(BackendRef self) {
        mSelf = self;
        mLatestIncarnation = self.incarnation();
    }

    /** Records the incarnations of this sidecar that a control instance reports. */
    void onMembership(MembershipDelta delta) {
        for (Backend b : delta.backends()) {
            if (b.ref().id().equals(mSelf.id())) {
                mLatestIncarnation = Math.max(mLatestIncarnation, b.ref().incarnation());
            }
        }
    }

    /**
     * Emits an effect if a later incarnation is known.
     *
     * @param idle whether the sidecar holds no attempt
     */
    void reportLater(Step step, boolean idle) {
        if (mLatestIncarnation > mSelf.incarnation()) {
            step.emit(new SidecarEffect.Superseded(mLatestIncarnation, idle));
        }
    }
}
