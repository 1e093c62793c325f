package org.laurelweir.admission;

import java.time.Duration;
import java.time.Instant;
import org.laurelweir.membership.Backend;
import org.laurelweir.membership.MembershipCursor;
import org.laurelweir.membership.SidecarReport;

/**
 * Announces the sidecar to control once a second, and at once when its state changes.
 *
 * <p>Within one announcement session the state only moves from serving towards left, so control can
 * merge announcements in any order. A sidecar that serves again opens a new session.
 */
final class Announcer {
    static final Duration INTERVAL = Duration.ofSeconds(1);

    private final SidecarIdentity mSelf;
    private Backend.State mState = Backend.State.SERVING;
    private int mSession = 1;
    private Instant mNextTime = Instant.MIN;

    Announcer(SidecarIdentity self) {
        mSelf = self;
    }

    /** Sets the present state. The next call of {@link #announceIfDue} announces a change. */
    void setState(Backend.State state) {
        if (state == mState) {
            return;
        }
        if (state.compareTo(mState) < 0) {
            mSession++;
        }
        mState = state;
        mNextTime = Instant.MIN;
    }

    /** Sends an announcement if the interval is over or the state has changed. */
    void announceIfDue(Step step, RunningLoad load, int waiting, MembershipCursor cursor) {
        if (step.now().isBefore(mNextTime)) {
            return;
        }
        mNextTime = step.now().plus(INTERVAL);
        Backend self = mSelf.announcement(mState, mSession);
        SidecarReport report = new SidecarReport(self, load.work(), load.running(), waiting);
        step.emit(new SidecarEffect.SendExchange(report, cursor));
    }
}
