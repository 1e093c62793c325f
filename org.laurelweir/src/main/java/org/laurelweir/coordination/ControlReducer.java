package org.laurelweir.coordination;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import org.laurelweir.consensus.ConsensusEvent;
import org.laurelweir.coordination.ControlEvent.BackendAnnounced;
import org.laurelweir.coordination.ControlEvent.BackendWithdrawn;
import org.laurelweir.coordination.ControlEvent.CommandReceived;
import org.laurelweir.coordination.ControlEvent.HistoryRequested;
import org.laurelweir.coordination.ControlEvent.MembershipChangeRequested;
import org.laurelweir.coordination.ControlEvent.PeerAnnounced;
import org.laurelweir.coordination.ControlEvent.PeerUpdateReceived;
import org.laurelweir.coordination.ControlEvent.PeerUpdateRequested;
import org.laurelweir.coordination.ControlEvent.ReleaseRequested;
import org.laurelweir.coordination.ControlEvent.RouterExchanged;
import org.laurelweir.coordination.ControlEvent.SettingsRequested;
import org.laurelweir.coordination.ControlEvent.SidecarExchanged;
import org.laurelweir.coordination.ControlEvent.SourceRequested;
import org.laurelweir.coordination.ControlEvent.StatusRequested;
import org.laurelweir.coordination.ControlEvent.StreamOriginRecorded;
import org.laurelweir.coordination.ControlEvent.StreamOriginRequested;
import org.laurelweir.lib.BackendRef;
import org.laurelweir.lib.Reducer;
import org.laurelweir.lib.ResultCode;
import org.laurelweir.membership.Backend;
import org.laurelweir.membership.Departure;
import org.laurelweir.membership.DirectAnnouncements;
import org.laurelweir.membership.SharedMembership;
import org.laurelweir.settings.NodePath;
import org.laurelweir.settings.SettingKeys;
import org.laurelweir.settings.SettingsTree;

/**
 * Makes the decisions of a control instance. State that goes through the replicated log is durable.
 * The membership of backend servers is not; it is served without a quorum. That a backend server
 * without a sidecar is draining or has left is acknowledged only once the log has it.
 */
public final class ControlReducer implements Reducer<ControlEvent, ControlEffect> {
    private static final Duration REPORT_INTERVAL = Duration.ofMillis(500);

    private final ControlConfig mConfig;
    private final RegionCheck mRegionCheck;
    private final DecisionLogger mDecisionLogger;
    private final SharedMembership mMembership;
    private final LogReplica mReplica;
    private final ControlPeers mPeers;
    private final RouterTable mRouters = new RouterTable();
    private final ExchangeHandler mExchanges;
    private final QueryHandler mQueries;
    private final ReplicaRepair mReplicaRepair;
    private final QuorumMonitor mQuorumMonitor;
    private final PeerSharing mPeerSharing;
    private final DirectAnnouncements mDirectAnnouncements;
    private final IgnoredAnnouncementLogger mIgnoredAnnouncementLogger;
    private final CrashSharing mCrashSharing;
    private final LoadSharing mLoadSharing;
    private final ContentionSharing mContentionSharing;
    private final StreamRecords mStreamRecords;
    private Instant mNextReport = Instant.MIN;
    private Instant mNow;
    private Consumer<? super ControlEffect> mEffects;

    /**
     * Creates the reducer; its first event is {@link ConsensusEvent.Recovered}.
     *
     * @param config configuration of the instance
     * @param codec codec of the commands and snapshots in the log
     * @param seed seed for random election timeouts; must differ between instances
     */
    public ControlReducer(ControlConfig config, LogCodec codec, long seed) {
        mConfig = config;
        mRegionCheck = new RegionCheck(config.regions().values());
        mDecisionLogger = new DecisionLogger(config.name());
        mIgnoredAnnouncementLogger = new IgnoredAnnouncementLogger(mDecisionLogger);
        mReplica = new LogReplica(config, codec, seed, mDecisionLogger, this::onDeparture);
        List<String> peers = new ArrayList<>(config.addresses().keySet());
        peers.remove(config.name());
        mMembership =
                new SharedMembership(
                        config.membership(),
                        peers,
                        this::onBackendChanged,
                        b -> mReplica.state().departures().isOutdated(b));
        mPeers = new ControlPeers(config, mMembership::expectPeer, mMembership::forgetPeer);
        mStreamRecords = new StreamRecords(config, mMembership, mPeers);
        PeerStatuses peerStatuses = new PeerStatuses();
        mQuorumMonitor = new QuorumMonitor(config, mReplica, peerStatuses);
        mCrashSharing = new CrashSharing(config);
        mLoadSharing = new LoadSharing(config, mMembership);
        mContentionSharing = new ContentionSharing(config, mMembership);
        mExchanges =
                new ExchangeHandler(
                        mMembership,
                        mReplica,
                        mRouters,
                        mCrashSharing,
                        mLoadSharing,
                        mContentionSharing,
                        new SlowStartPermits(this::slowStartRate),
                        mDecisionLogger);
        mQueries =
                new QueryHandler(
                        mMembership,
                        mReplica,
                        mRouters,
                        mCrashSharing,
                        mLoadSharing,
                        peerStatuses,
                        mQuorumMonitor,
                        mStreamRecords);
        mReplicaRepair = new ReplicaRepair(mReplica, peerStatuses, config);
        mDirectAnnouncements = new DirectAnnouncements(mMembership, this::isAcceptedService);
        mPeerSharing =
                new PeerSharing(
                        config,
                        mMembership,
                        mReplica,
                        mRouters,
                        peerStatuses,
                        mQuorumMonitor,
                        mPeers,
                        mCrashSharing,
                        mLoadSharing,
                        mContentionSharing);
    }

    @Override
    public void step(Instant now, ControlEvent event, Consumer<? super ControlEffect> effects) {
        mNow = now;
        mEffects = effects;
        mStreamRecords.beginStep(now);
        if (event instanceof ControlEvent.Tick) {
            tick();
        } else if (event instanceof ControlEvent.ReplicaEvent e) {
            mReplica.step(now, e.event(), effects);
        } else if (event instanceof SidecarExchanged e) {
            mExchanges.answer(now, e, effects);
        } else if (event instanceof RouterExchanged e) {
            mExchanges.answer(now, e, effects);
        } else if (event instanceof BackendAnnounced e) {
            onAnnounced(e);
        } else if (event instanceof BackendWithdrawn e) {
            onWithdrawn(e);
        } else if (event instanceof CommandReceived e) {
            onCommand(e);
        } else {
            onOtherEvent(event);
        }
        mPeerSharing.flush(now, effects);
        mCrashSharing.logDecisions(now, effects);
    }

    private void onOtherEvent(ControlEvent event) {
        if (event instanceof PeerUpdateRequested e) {
            mPeerSharing.answer(mNow, e, mEffects);
        } else if (event instanceof PeerUpdateReceived e) {
            mPeerSharing.onPeerUpdate(mNow, e);
        } else if (event instanceof PeerAnnounced e) {
            mMembership.mergeAnnouncements(mNow, e.announcements());
            mCrashSharing.onPeerAnnouncement(mNow, e.crashes());
            mLoadSharing.onPeerLoads(mNow, e.loads());
            mContentionSharing.onPeerLoads(mNow, e.loads());
        } else if (event instanceof StreamOriginRecorded e) {
            mStreamRecords.record(mNow, e, mEffects);
        } else if (event instanceof ControlEvent.StreamRecordKept e) {
            mStreamRecords.onKept(e.call(), mEffects);
        } else if (event instanceof ControlEvent.StreamRecordsRestored e) {
            mStreamRecords.restore(mNow, e.records());
        } else if (event instanceof StreamOriginRequested e) {
            mStreamRecords.answer(mNow, e, mEffects);
        } else if (event instanceof SettingsRequested e) {
            mQueries.answer(mNow, e, mEffects);
        } else if (event instanceof SourceRequested e) {
            mQueries.answer(mNow, e, mEffects);
        } else if (event instanceof HistoryRequested e) {
            mQueries.answer(e, mEffects);
        } else if (event instanceof StatusRequested e) {
            mQueries.answer(mNow, e, mEffects);
        } else if (event instanceof ReleaseRequested e) {
            onReleaseRequested(e);
        } else if (event instanceof MembershipChangeRequested e) {
            mReplica.changeMembership(mNow, e.call(), e.change(), mEffects);
        }
    }

    private void tick() {
        mReplica.step(mNow, new ConsensusEvent.Tick(), mEffects);
        mMembership.tick(mNow);
        mRouters.expire(mNow);
        mCrashSharing.expire(mNow);
        mLoadSharing.expire(mNow);
        mContentionSharing.expire(mNow);
        mPeerSharing.tick(mNow, mEffects);
        mReplicaRepair.tick(mNow, mEffects);
        mQuorumMonitor.tick(mNow, mEffects);
        if (!mNow.isBefore(mNextReport)) {
            mNextReport = mNow.plus(REPORT_INTERVAL);
            mDirectAnnouncements.prune();
            mStreamRecords.update(mNow);
            mEffects.accept(mQueries.statusReport(mNow, mPeers.addresses()));
        }
    }

    private void onAnnounced(BackendAnnounced e) {
        Backend b = withRegion(withoutNeedlessSlowStart(e.backend()));
        Backend before = mMembership.backend(b.ref().id());
        DirectAnnouncements.Outcome outcome = mDirectAnnouncements.receive(mNow, b);
        if (outcome == DirectAnnouncements.Outcome.TAKEN) {
            mStreamRecords.onAnnounced(b);
            announceRestart(before);
        }
        mIgnoredAnnouncementLogger.log(mNow, b, outcome, mEffects);
        boolean isKnown =
                outcome == DirectAnnouncements.Outcome.TAKEN
                        || outcome == DirectAnnouncements.Outcome.OVERTAKEN;
        if (isKnown && b.state() != Backend.State.SERVING) {
            acknowledge(e.call(), currentDrain(b));
        } else {
            mEffects.accept(new ControlEffect.AnswerAnnounced(e.call()));
        }
    }

    /**
     * Returns the membership's view of a server that announces that it drains, whose session is the
     * first announcement of this drain; or the announcement, if the membership has something else.
     */
    private Backend currentDrain(Backend announced) {
        Backend known = mMembership.backend(announced.ref().id());
        boolean isSame =
                known != null
                        && known.ref().equals(announced.ref())
                        && known.state() != Backend.State.SERVING;
        return isSame ? known : announced;
    }

    /** Acknowledges that a backend server is draining or has left, once the log has it. */
    private void acknowledge(long call, Backend leaving) {
        if (isRecorded(leaving)) {
            mEffects.accept(new ControlEffect.AnswerAnnounced(call));
            return;
        }
        Command.RecordDeparture command =
                new Command.RecordDeparture(
                        mNow,
                        leaving.ref(),
                        leaving.state(),
                        leaving.session(),
                        mConfig.membership().departedRetention());
        mReplica.propose(mNow, call, command, mEffects);
    }

    private boolean isRecorded(Backend leaving) {
        return isRecorded(leaving.ref(), leaving.state(), leaving.session());
    }

    private boolean isRecorded(BackendRef server, Backend.State state, int session) {
        Departure d = mReplica.state().departures().get(server.id());
        return d != null && d.covers(server, state, session);
    }

    /** Applies a departure of the log to an announcement that was accepted before it was known. */
    private void onDeparture(Departure departure) {
        mDirectAnnouncements.onDeparture(mNow, departure);
    }

    /**
     * Tells the peers at once of a backend server that started anew under its name. Until they know
     * they take what it answers for that of its earlier version.
     */
    private void announceRestart(Backend before) {
        Backend now = before == null ? null : mMembership.backend(before.ref().id());
        if (now != null && now.ref().incarnation() > before.ref().incarnation()) {
            mPeerSharing.announce(now);
        }
    }

    /**
     * Returns the announcement without its slow start if the settings set no limit for that. While
     * settings are unknown, there may be one.
     */
    private Backend withoutNeedlessSlowStart(Backend b) {
        boolean isLimited =
                mReplica.state().settings().tree().size() == 0 || slowStartRate(b.service()) > 0;
        return b.slowStart() && !isLimited ? b.withSlowStart(false) : b;
    }

    /** Returns the announcement with the region of its data centre if it does not name one. */
    private Backend withRegion(Backend b) {
        String region = mConfig.regions().getOrDefault(b.dataCentre(), "");
        return b.region().isEmpty() ? b.withRegion(region) : b;
    }

    /** Returns the number of requests a second of a service's servers in slow start. */
    private double slowStartRate(String service) {
        return mReplica.state()
                .settings()
                .tree()
                .node(NodePath.ofService(service))
                .map(n -> n.value(SettingKeys.SERVICE_SLOW_START_RATE))
                .orElse(0.0);
    }

    /**
     * Handles a departure. An instance that does not know the backend server must not acknowledge
     * the departure; the caller can then report it to another instance.
     */
    private void onWithdrawn(BackendWithdrawn e) {
        String id = e.backend().id();
        Backend known = mMembership.backend(id);
        DirectAnnouncements.Outcome outcome = mDirectAnnouncements.withdraw(mNow, e.backend());
        if (outcome != DirectAnnouncements.Outcome.UNKNOWN_SERVER) {
            boolean isAnyIncarnation =
                    e.backend().incarnation() == DirectAnnouncements.NO_START_TIME;
            BackendRef server = isAnyIncarnation ? known.ref() : e.backend();
            acknowledge(
                    e.call(),
                    known.withRef(server)
                            .withState(Backend.State.LEFT)
                            .withSession(Departure.FINAL_SESSION));
        } else if (isRecorded(e.backend(), Backend.State.LEFT, Departure.FINAL_SESSION)) {
            mEffects.accept(new ControlEffect.AnswerAnnounced(e.call()));
        } else {
            mEffects.accept(unknownBackendServer(e.call(), id));
        }
    }

    private static ControlEffect.AnswerError unknownBackendServer(long call, String id) {
        String message = "no backend server " + id + " has announced itself";
        return new ControlEffect.AnswerError(call, ResultCode.UNKNOWN_BACKEND_SERVER, message, "");
    }

    /**
     * Returns whether announcements for a service are accepted. Until settings are known, every
     * service is accepted.
     */
    private boolean isAcceptedService(String name) {
        SettingsTree tree = mReplica.state().settings().tree();
        return tree.size() == 0 || tree.services().contains(name);
    }

    private void onCommand(CommandReceived e) {
        if (e.command() instanceof Command.DrainDataCentre d && !isDataCentre(d.dataCentre())) {
            String message = "there is no data centre " + d.dataCentre();
            mEffects.accept(
                    new ControlEffect.AnswerError(e.call(), ResultCode.BAD_REQUEST, message, ""));
            return;
        }
        if (e.command() instanceof Command.Drain d
                && d.drain()
                && !mMembership.knows(d.backend())) {
            mEffects.accept(unknownBackendServer(e.call(), d.backend()));
            return;
        }
        Set<String> unknown = mRegionCheck.unknownRegions(e.command());
        if (!unknown.isEmpty()) {
            String message = "unknown regions: " + String.join(", ", unknown);
            mEffects.accept(
                    new ControlEffect.AnswerError(
                            e.call(), ResultCode.SETTINGS_INVALID, message, ""));
            return;
        }
        mReplica.propose(mNow, e.call(), e.command(), mEffects);
    }

    /**
     * Returns whether a name is that of a data centre. The configuration lists them all; without a
     * list, every name is accepted. A data centre that is drained can always be undrained.
     */
    private boolean isDataCentre(String name) {
        Set<String> known = mConfig.regions().keySet();
        return !name.isEmpty()
                && (known.isEmpty()
                        || known.contains(name)
                        || mReplica.state().drainedDataCentres().contains(name));
    }

    private void onReleaseRequested(ReleaseRequested e) {
        if (mCrashSharing.release(mNow, e.key())) {
            mDecisionLogger.quarantineReleased(mNow, e.key(), e.author(), mEffects);
            mEffects.accept(new ControlEffect.AnswerReleased(e.call()));
        } else {
            String message = e.key() + " is not quarantined";
            mEffects.accept(
                    new ControlEffect.AnswerError(
                            e.call(), ResultCode.NOT_QUARANTINED, message, ""));
        }
    }

    private void onBackendChanged(Backend backend, String reason, boolean receivedHere) {
        mStreamRecords.onBackendChanged(mNow, backend);
        if (!receivedHere) {
            mDecisionLogger.peerReportedBackend(mNow, backend, reason, mEffects);
            return;
        }
        mDecisionLogger.backendChanged(mNow, backend, reason, mEffects);
        if (backend.state() != Backend.State.SERVING || backend.slowStart()) {
            mPeerSharing.announce(backend);
        }
    }
}
