package org.laurelweir.admission;

import java.time.Duration;
import java.time.Instant;
import org.laurelweir.membership.Backend;
import org.laurelweir.membership.MembershipCursor;
import org.laurelweir.membership.SidecarReport;

/**
 * Tells control about the sidecar: once a second, and at once when it begins or ceases to take new
 * work. Within one announcement session a state never goes back, so that announcements may be
 * merged in any order; a sidecar that serves again opens a new session.
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

    /** Notes the present state; a change is announced with the next {@link #announceIfDue}. */
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

    /** Announces if it is time to. */
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
