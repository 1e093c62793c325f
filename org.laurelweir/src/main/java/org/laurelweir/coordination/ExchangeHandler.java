package org.laurelweir.coordination;

import java.time.Instant;
import java.util.List;
import java.util.function.Consumer;
import org.laurelweir.contention.ContentionDigest;
import org.laurelweir.coordination.ControlEffect.AnswerExchange;
import org.laurelweir.coordination.ControlEffect.SidecarOrders;
import org.laurelweir.coordination.ControlEvent.RouterExchanged;
import org.laurelweir.coordination.ControlEvent.SidecarExchanged;
import org.laurelweir.load.LoadDigest;
import org.laurelweir.membership.Backend;
import org.laurelweir.membership.DrainedDataCentres;
import org.laurelweir.membership.PlacementRules;
import org.laurelweir.membership.SharedMembership;
import org.laurelweir.membership.SlowStartPermit;
import org.laurelweir.quarantine.CrashDelta;
import org.laurelweir.settings.SettingsDelta;
import org.laurelweir.settings.SettingsNode;

/**
 * Handles exchanges of sidecars and routers. An answer contains only the changes that the reader
 * does not have yet. A sidecar gets the backend servers and the load of its own service only, and
 * no settings of client accounts.
 */
final class ExchangeHandler {
    private final SharedMembership mMembership;
    private final LogReplica mReplica;
    private final RouterTable mRouters;
    private final CrashSharing mCrashSharing;
    private final LoadSharing mLoadSharing;
    private final ContentionSharing mContentionSharing;
    private final SlowStartPermits mSlowStartPermits;
    private final DecisionLogger mDecisionLogger;

    ExchangeHandler(
            SharedMembership membership,
            LogReplica replica,
            RouterTable routers,
            CrashSharing crashSharing,
            LoadSharing loadSharing,
            ContentionSharing contentionSharing,
            SlowStartPermits slowStartPermits,
            DecisionLogger decisionLogger) {
        mSlowStartPermits = slowStartPermits;
        mCrashSharing = crashSharing;
        mLoadSharing = loadSharing;
        mContentionSharing = contentionSharing;
        mDecisionLogger = decisionLogger;
        mMembership = membership;
        mReplica = replica;
        mRouters = routers;
    }

    void answer(Instant now, SidecarExchanged e, Consumer<? super ControlEffect> effects) {
        Backend b = e.report().backend();
        int minSession = mMembership.receiveReport(now, e.report());
        String id = b.ref().id();
        SidecarOrders orders =
                new SidecarOrders(isDrainOrdered(b), mReplica.state().highestFence(id), minSession);
        effects.accept(
                new AnswerExchange(
                        e.call(),
                        mMembership.deltaSince(e.cursor(), b.service()),
                        CrashDelta.NONE,
                        LoadDigest.NONE,
                        withoutAccounts(settings(e.settingsPosition())),
                        List.of(mMembership.load(b.service())),
                        isPossiblyStale(now, e.settingsPosition()),
                        orders,
                        0,
                        PlacementRules.NONE,
                        ContentionDigest.NONE));
    }

    void answer(Instant now, RouterExchanged e, Consumer<? super ControlEffect> effects) {
        mCrashSharing.onRouterReport(now, e.crashes().records());
        mLoadSharing.onRouterReport(now, e.report().name(), e.loads());
        ContentionDigest contention =
                mContentionSharing.onRouterReport(now, e.report().name(), e.contention());
        mRouters.put(new RouterInstanceStatus(e.report(), e.settingsPosition(), now));
        SettingsDelta settings = settings(e.settingsPosition());
        if (settings.full()) {
            mDecisionLogger.fullTreeSent(now, e.report().name(), settings, effects);
        }
        effects.accept(
                new AnswerExchange(
                        e.call(),
                        mMembership.deltaSince(e.cursor(), null),
                        mCrashSharing.deltaSince(now, e.cursor(), e.crashes().seen()),
                        mLoadSharing.digest(now),
                        settings,
                        mMembership.loads(),
                        isPossiblyStale(now, e.settingsPosition()),
                        null,
                        mRouters.count(),
                        rules(now, e.report().name()),
                        contention));
    }

    private boolean isDrainOrdered(Backend b) {
        return mReplica.state().isDrainOrdered(b.ref().id())
                || mReplica.state().drainedDataCentres().contains(b.dataCentre());
    }

    private PlacementRules rules(Instant now, String router) {
        DrainedDataCentres drained = mReplica.state().drainedDataCentres();
        mSlowStartPermits.onDrained(now, drained);
        List<SlowStartPermit> permits =
                mSlowStartPermits.permitsOf(
                        now,
                        router,
                        mMembership::backends,
                        mRouters.names(),
                        mMembership.hasMajority());
        return new PlacementRules(drained, mSlowStartPermits.services(), permits);
    }

    private SettingsDelta settings(long position) {
        return mReplica.state().settings().deltaSince(position);
    }

    /**
     * Returns whether newer settings may have been accepted. A reader with a higher position proves
     * that, whatever the leader has confirmed.
     */
    private boolean isPossiblyStale(Instant now, long readerPosition) {
        long position = mReplica.state().settings().tree().position();
        return readerPosition > position || mReplica.isPossiblyStale(now);
    }

    private static SettingsDelta withoutAccounts(SettingsDelta delta) {
        if (delta.nodes().isEmpty()) {
            return delta;
        }
        List<SettingsNode> nodes =
                delta.nodes().stream().filter(n -> n.path().account() == null).toList();
        return new SettingsDelta(delta.position(), delta.full(), nodes);
    }
}
