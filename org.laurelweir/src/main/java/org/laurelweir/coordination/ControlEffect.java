package org.laurelweir.coordination;

import java.util.List;
import org.laurelweir.consensus.ConsensusEffect;
import org.laurelweir.consensus.Membership;
import org.laurelweir.lib.Decision;
import org.laurelweir.lib.ResultCode;
import org.laurelweir.load.LoadDigest;
import org.laurelweir.load.PeerLoads;
import org.laurelweir.membership.Announcement;
import org.laurelweir.membership.MembershipCursor;
import org.laurelweir.membership.MembershipDelta;
import org.laurelweir.membership.PeerUpdate;
import org.laurelweir.membership.ServiceLoad;
import org.laurelweir.quarantine.CrashDelta;
import org.laurelweir.quarantine.CrashRecord;
import org.laurelweir.settings.HistoryEntry;
import org.laurelweir.settings.SettingsDelta;
import org.laurelweir.settings.SettingsNode;

/** Everything that a control instance's reducer wants done. */
public sealed interface ControlEffect {
    /** The answer to one call. */
    sealed interface Answer extends ControlEffect {
        /** The call's number, as its event gave it. */
        long call();
    }

    /** Send a message to another replica; it may be lost. */
    record SendToReplica(ConsensusEffect.Send send) implements ControlEffect {}

    /** Write to disk and sync, and report it as persisted. */
    record Persist(ConsensusEffect.Persist persist) implements ControlEffect {}

    /** Keep in mind, without a sync, up to which entry the log on this disk is committed. */
    record MarkCommitted(long index) implements ControlEffect {}

    /** Encode a snapshot and report it as taken under the index. */
    record EncodeSnapshot(long index, ControlState.Snapshot snapshot) implements ControlEffect {}

    /**
     * Answer an exchange.
     *
     * @param crashes under which requests backend servers ended; nothing to a sidecar
     * @param digest what routers have at backend servers; nothing to a sidecar
     * @param orders what only a sidecar is told, or null
     * @param routers routers that serve; 0 to a sidecar
     */
    record AnswerExchange(
            long call,
            MembershipDelta membership,
            CrashDelta crashes,
            LoadDigest digest,
            SettingsDelta settings,
            List<ServiceLoad> loads,
            boolean possiblyStale,
            SidecarOrders orders,
            int routerCount)
            implements Answer {}

    /**
     * What a sidecar is told of itself.
     *
     * @param drain whether an operator wants its backend server drained
     * @param fence the highest fencing number given for it
     * @param leastSession the least session under which it is heard
     */
    record SidecarOrders(boolean drain, long fence, int minSession) {}

    /** Answer a command that was carried out. */
    record AnswerCommand(long call, CommandResult result) implements Answer {}

    /**
     * Answer a command, read or membership change that this instance can't tell the result of.
     *
     * @param code OUTCOME_UNKNOWN if it may still be carried out; with any other code it was not
     *     and won't be
     * @param leader the address to ask instead, or empty
     */
    record AnswerError(long call, ResultCode code, String message, String leader)
            implements Answer {}

    /** Answer a read of settings. */
    record AnswerSettings(long call, long position, List<SettingsNode> nodes) implements Answer {}

    /**
     * Answer a read of the operator's own text.
     *
     * @param revision the operator's number of it, 0 if there is none
     */
    record AnswerSource(long call, long revision, String source) implements Answer {}

    /** Acknowledge an announcement of a backend server. */
    record AnswerAnnounced(long call) implements Answer {}

    /** Answer a read of accepted changes. */
    record AnswerHistory(long call, List<HistoryEntry> entries) implements Answer {}

    /** Answer an operator's question. */
    record AnswerStatus(long call, FleetStatus status) implements Answer {}

    /** Answer that a request is not kept away any more. */
    record AnswerReleased(long call) implements Answer {}

    /** Answer a change of the replicas that was carried out. */
    record AnswerMembership(long call, Membership members) implements Answer {}

    /** Answer a peer. */
    record AnswerPeerUpdate(
            long call,
            PeerUpdate share,
            CrashDelta crashes,
            List<RouterInstanceStatus> routers,
            ControlInstanceStatus status)
            implements Answer {}

    /**
     * Ask a peer for what it hears.
     *
     * @param crashesSeen how far its records of crashes are known here
     */
    record RequestPeerUpdate(
            String peer, MembershipCursor cursor, long crashesSeen, boolean withRouters)
            implements ControlEffect {}

    /** Tell peers at once what changed here; it may be lost. */
    record AnnounceToPeers(
            List<String> peers,
            List<Announcement> announcements,
            List<CrashRecord> crashes,
            PeerLoads loads)
            implements ControlEffect {}

    /**
     * How this instance does, for metrics and readiness; sent about once a second.
     *
     * @param sessions sidecars heard here
     * @param backends backend servers known, those that left lately included
     * @param claims idempotency keys in use
     * @param quarantined requests that are kept away from backend servers
     * @param requestsUnderWay requests that routers are known to have at backend servers
     * @param settingsPosition the log position of the settings in force
     * @param logBytes bytes of the log's entries in memory
     * @param snapshotBytes bytes of the last snapshot's state
     * @param peers where the other control instances are reached, host:port
     */
    record ReportStatus(
            ControlInstanceStatus self,
            int sessions,
            int backends,
            int claims,
            int quarantined,
            int requestsUnderWay,
            long settingsPosition,
            long logBytes,
            long snapshotBytes,
            List<String> peers)
            implements ControlEffect {}

    /** This instance does not lead, or can't hand over: it may stop. */
    record LeadershipTransferEnded() implements ControlEffect {}

    /** Log a decision. */
    record LogDecision(Decision decision) implements ControlEffect {}
}
