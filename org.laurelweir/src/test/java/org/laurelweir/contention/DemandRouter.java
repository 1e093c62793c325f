package org.laurelweir.contention;

import java.util.ArrayList;
import java.util.List;
import org.laurelweir.coordination.ControlEffect.AnswerExchange;
import org.laurelweir.coordination.ControlEvent;
import org.laurelweir.fleet.FleetControls;
import org.laurelweir.fleet.VirtualTime;
import org.laurelweir.load.LoadReport;
import org.laurelweir.membership.MembershipCursor;
import org.laurelweir.membership.RouterReport;
import org.laurelweir.quarantine.CrashReport;

/** A simulated router that only exchanges its demand with control. */
final class DemandRouter {
    private static final int INTERVAL_MILLIS = 300;
    private static final int TIMEOUT_MILLIS = 800;

    final FleetDemand mDemand = new FleetDemand();
    final List<ContentionReport> mReports = new ArrayList<>();
    final List<AnswerExchange> mAnswers = new ArrayList<>();
    private final VirtualTime mTime;
    private final FleetControls mControls;
    private final String mName;
    private final int mRouters;
    private MembershipCursor mCursor = MembershipCursor.NONE;
    private int mControl;
    private int mExchange;
    private int mEndedExchange;
    private double mLostShare;
    private boolean mIsDead;

    DemandRouter(VirtualTime time, FleetControls controls, int number, int routers) {
        mTime = time;
        mControls = controls;
        mName = "r" + number;
        mControl = number % controls.count();
        mRouters = routers;
        time.every(INTERVAL_MILLIS, this::exchange);
    }

    void setLostShare(double share) {
        mLostShare = share;
    }

    void kill() {
        mIsDead = true;
    }

    private boolean isLost() {
        return mTime.random().nextDouble() < mLostShare;
    }

    private void exchange() {
        if (mIsDead || mExchange > mEndedExchange) {
            return;
        }
        int exchange = ++mExchange;
        ContentionReport contention = mDemand.report(mTime.instant());
        mReports.add(contention);
        LoadReport loads = new LoadReport(true, List.of(), List.of());
        RouterReport report = new RouterReport(mName, 1, "dc", "rg", mName, mName);
        MembershipCursor cursor = mCursor;
        mTime.after(TIMEOUT_MILLIS, () -> onTimeout(exchange));
        if (!isLost()) {
            mControls.call(
                    mControl,
                    call ->
                            new ControlEvent.RouterExchanged(
                                    call, report, cursor, 0, CrashReport.NONE, loads, contention),
                    answer -> onAnswer(exchange, (AnswerExchange) answer));
        }
    }

    private void onAnswer(int exchange, AnswerExchange answer) {
        if (mIsDead || exchange <= mEndedExchange || isLost()) {
            return;
        }
        mEndedExchange = exchange;
        if (!answer.membership().cursor().isSameIncarnation(mCursor)) {
            mDemand.requestFullReport();
        }
        mCursor = answer.membership().cursor();
        mAnswers.add(answer);
        mDemand.onDigest(answer.contention(), mRouters);
    }

    private void onTimeout(int exchange) {
        if (mIsDead || exchange <= mEndedExchange) {
            return;
        }
        mEndedExchange = exchange;
        mControl = (mControl + 1) % mControls.count();
        mDemand.requestFullReport();
    }
}
