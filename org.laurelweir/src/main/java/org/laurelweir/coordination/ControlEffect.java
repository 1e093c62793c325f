package org.laurelweir.coordination;

import java.util.List;
import java.util.Optional;
import org.laurelweir.consensus.ConsensusEffect;
import org.laurelweir.consensus.Membership;
import org.laurelweir.contention.ContentionDigest;
import org.laurelweir.lib.Decision;
import org.laurelweir.lib.ResultCode;
import org.laurelweir.load.LoadDigest;
import org.laurelweir.load.PeerLoads;
import org.laurelweir.membership.Announcement;
import org.laurelweir.membership.MembershipCursor;
import org.laurelweir.membership.MembershipDelta;
import org.laurelweir.membership.PeerUpdate;
import org.laurelweir.membership.PlacementRules;
import org.laurelweir.membership.ServiceLoad;
import org.laurelweir.quarantine.CrashDelta;
import org.laurelweir.quarantine.CrashRecord;
import org.laurelweir.resumption.BackendRun;
import org.laurelweir.resumption.OriginReport;
import org.laurelweir.resumption.StreamRecord;
import org.laurelweir.settings.HistoryEntry;
import org.laurelweir.settings.SettingsDelta;
import org.laurelweir.settings.SettingsNode;

/**
 * An action that {@link ControlReducer} requests from the shell, the code that does the I/O of the
 * control instance.
 */
public sealed interface ControlEffect {
    /** The answer to a call. */
    sealed interface Answer extends ControlEffect {
        /** Returns the id of the call, from the call's event. */
        long call();
    }

    /** Sends a message to another replica. The message may be lost. */
    record SendToReplica(ConsensusEffect.Send send) implements ControlEffect {}

    /**
     * Writes to disk and syncs. The shell then reports {@link
     * org.laurelweir.consensus.ConsensusEvent.Persisted}.
     */
    record Persist(ConsensusEffect.Persist persist) implements ControlEffect {}

    /** Records, without a sync, up to which index the log on this disk is committed. */
    record MarkCommitted(long index) implements ControlEffect {}

    /**
     * Encodes a snapshot. The shell then reports {@link
     * org.laurelweir.consensus.ConsensusEvent.SnapshotTaken} with the same index.
     */
    record EncodeSnapshot(long index, ControlState.Snapshot snapshot) implements ControlEffect {}

    /**
     * Answers an exchange of a sidecar or router.
     *
     * @param crashes the requests under which backend servers crashed; empty for a sidecar
     * @param digest the load digest, the load that routers have at backend servers; empty for a
     *     sidecar
     * @param orders orders to the sidecar; null for a router
     * @param routerCount number of routers that serve; 0 for a sidecar
     * @param rules rules for where the router sends requests; empty for a sidecar
     * @param contention the demand of all routers; empty for a sidecar, and for a router whose
     *     report had none or could not be applied
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
            int routerCount,
            PlacementRules rules,
            ContentionDigest contention)
            implements Answer {}

    /**
     * Orders to a sidecar.
     *
     * @param drain whether an operator has ordered to drain its backend server or data centre
     * @param fence the highest fencing token issued for its backend server
     * @param minSession the lowest session number under which control accepts its reports
     */
    record SidecarOrders(boolean drain, long fence, int minSession) {}

    /** Answers a command with its result. */
    record AnswerCommand(long call, CommandResult result) implements Answer {}

    /**
     * Answers a command, read or membership change without a result.
     *
     * @param code OUTCOME_UNKNOWN if it may still be carried out; with any other code it is not and
     *     never will be
     * @param leader the address of the leader to ask instead, or empty
     */
    record AnswerError(long call, ResultCode code, String message, String leader)
            implements Answer {}

    /** Answers a request for settings. */
    record AnswerSettings(long call, long position, List<SettingsNode> nodes) implements Answer {}

    /**
     * Answers a request for the operator's own text of the settings.
     *
     * @param revision the operator's revision number of the text, 0 if there is none
     */
    record AnswerSource(long call, long revision, String source) implements Answer {}

    /** Acknowledges an announcement or a withdrawal of a backend server. */
    record AnswerAnnounced(long call) implements Answer {}

    /**
     * Confirms that the origin of a stream is recorded.
     *
     * @param laterRun a later run of the backend server; the origin may be wrong then and is not
     *     recorded
     */
    record AnswerStreamRecorded(long call, Optional<BackendRun> laterRun) implements Answer {}

    /**
     * Write the record of a stream to the disk, if there is one, and report it as {@link
     * ControlEvent.StreamRecordKept}.
     */
    record KeepStreamRecord(long call, StreamRecord record) implements ControlEffect {}

    /** Answers a request for the origin of a stream. */
    record AnswerStreamOrigin(long call, OriginReport report) implements Answer {}

    /** Answers a request for the history of accepted changes. */
    record AnswerHistory(long call, List<HistoryEntry> entries) implements Answer {}

    /** Answers an operator's request for the status of the fleet. */
    record AnswerStatus(long call, FleetStatus status) implements Answer {}

    /** Confirms that a request is released from quarantine. */
    record AnswerReleased(long call) implements Answer {}

    /** Answers a change of the replicas with the new membership. */
    record AnswerMembership(long call, Membership members) implements Answer {}

    /** Answers a peer's request for an update. */
    record AnswerPeerUpdate(
            long call,
            PeerUpdate update,
            CrashDelta crashes,
            List<RouterInstanceStatus> routers,
            ControlInstanceStatus status)
            implements Answer {}

    /**
     * Requests an update from a peer.
     *
     * @param crashesVersion the version up to which this instance has the peer's crash records
     * @param withRouters whether to include the routers that exchange with the peer
     */
    record RequestPeerUpdate(
            String peer, MembershipCursor cursor, long crashesVersion, boolean withRouters)
            implements ControlEffect {}

    /**
     * Sends changes to the peers at once, before they next request an update. The message may be
     * lost.
     */
    record AnnounceToPeers(
            List<String> peers,
            List<Announcement> announcements,
            List<CrashRecord> crashes,
            PeerLoads loads)
            implements ControlEffect {}

    /**
     * Reports the status of this instance for metrics and readiness, about twice a second.
     *
     * @param sessions number of sidecars that report to this instance
     * @param backends number of known backend servers, including recently departed ones
     * @param claims number of idempotency keys in use
     * @param quarantinedRequests number of quarantined requests
     * @param quarantinedParts number of quarantined parts of prompts
     * @param drainedDataCentres number of drained data centres
     * @param runningRequests number of requests that routers have reported as running at backend
     *     servers
     * @param recordedStreams number of streams whose origin is recorded here
     * @param mixedServices number of services whose backend servers have several software versions
     * @param settingsPosition the log position of the current settings
     * @param logBytes size of the log entries in memory
     * @param snapshotBytes size of the last snapshot's state
     * @param peers the addresses (host:port) of the other control instances
     */
    record ReportStatus(
            ControlInstanceStatus self,
            int sessions,
            int backends,
            int claims,
            int quarantinedRequests,
            int quarantinedParts,
            int drainedDataCentres,
            int runningRequests,
            int recordedStreams,
            int mixedServices,
            long settingsPosition,
            long logBytes,
            long snapshotBytes,
            List<String> peers)
            implements ControlEffect {}

    /**
     * Reports that a requested leadership transfer has ended, so that this instance may stop. It
     * does not lead, or could not transfer its leadership.
     */
    record LeadershipTransferEnded() implements ControlEffect {}

    /**
     * Reports that this instance, which is about to stop, has no vote any more, or that no other
     * one could vote in its place.
     */
    record VoteHandedOver() implements ControlEffect {}

    /** Logs a decision. */
    record LogDecision(Decision decision) implements ControlEffect {}

    /** Logs a decision as a warning: an operator may have to act. */
    record LogWarning(Decision decision) implements ControlEffect {}
}
