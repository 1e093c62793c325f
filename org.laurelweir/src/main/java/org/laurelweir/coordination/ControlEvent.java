package org.laurelweir.coordination;

import java.time.Duration;
import java.util.List;
import org.laurelweir.consensus.ConsensusEvent;
import org.laurelweir.consensus.MembershipChange;
import org.laurelweir.contention.ContentionReport;
import org.laurelweir.lib.BackendRef;
import org.laurelweir.load.LoadReport;
import org.laurelweir.load.PeerLoads;
import org.laurelweir.membership.Announcement;
import org.laurelweir.membership.Backend;
import org.laurelweir.membership.MembershipCursor;
import org.laurelweir.membership.PeerUpdate;
import org.laurelweir.membership.RouterReport;
import org.laurelweir.membership.SidecarReport;
import org.laurelweir.quarantine.CrashDelta;
import org.laurelweir.quarantine.CrashRecord;
import org.laurelweir.quarantine.CrashReport;
import org.laurelweir.quarantine.SuspectKey;
import org.laurelweir.resumption.StreamOrigin;
import org.laurelweir.resumption.StreamRecord;
import org.laurelweir.settings.NodePath;

/**
 * An input of {@link ControlReducer}. The shell chooses the id of each call. The reducer answers
 * each call with one {@link ControlEffect.Answer} under the same id.
 */
public sealed interface ControlEvent {
    /** Time has passed. The shell sends a tick every few tens of milliseconds. */
    record Tick() implements ControlEvent {}

    /** An event for this instance's replica of the log. */
    record ReplicaEvent(ConsensusEvent event) implements ControlEvent {}

    /** A sidecar reports its state and requests the changes since its last exchange. */
    record SidecarExchanged(
            long call, SidecarReport report, MembershipCursor cursor, long settingsPosition)
            implements ControlEvent {}

    /**
     * A router reports its state and requests the changes since its last exchange.
     *
     * @param loads the load that the router has at backend servers without sidecars
     * @param contention the demand of the router's requests; {@link ContentionReport#NONE} if it
     *     never had any
     */
    record RouterExchanged(
            long call,
            RouterReport report,
            MembershipCursor cursor,
            long settingsPosition,
            CrashReport crashes,
            LoadReport loads,
            ContentionReport contention)
            implements ControlEvent {
        /** Creates the exchange of a router that never had any demand. */
        public RouterExchanged(
                long call,
                RouterReport report,
                MembershipCursor cursor,
                long settingsPosition,
                CrashReport crashes,
                LoadReport loads) {
            this(call, report, cursor, settingsPosition, crashes, loads, ContentionReport.NONE);
        }
    }

    /**
     * A backend server without a sidecar announces itself.
     *
     * @param backend the backend server. Its session is the number of the announcement, which rises
     *     with each announcement within one start. Its incarnation is the time of its start, or 0
     *     if it does not send one
     */
    record BackendAnnounced(long call, Backend backend) implements ControlEvent {}

    /**
     * A backend server without a sidecar reports its departure.
     *
     * @param backend the backend server; its incarnation is the time of its start, or 0 if it does
     *     not send one
     */
    record BackendWithdrawn(long call, BackendRef backend) implements ControlEvent {}

    /**
     * A router records what began a stream.
     *
     * @param stream the stream's {@link org.laurelweir.resumption.StreamKey}
     * @param server the run of the backend server that the router called
     * @param retention how long the record is kept
     */
    record StreamOriginRecorded(
            long call, long stream, StreamOrigin origin, BackendRef server, Duration retention)
            implements ControlEvent {}

    /** The record of a stream is on the disk, or will not be. */
    record StreamRecordKept(long call) implements ControlEvent {}

    /** The records of streams that the disk holds of earlier runs, the oldest first. */
    record StreamRecordsRestored(List<StreamRecord> records) implements ControlEvent {}

    /**
     * A router requests what began a stream.
     *
     * @param stream the stream's {@link org.laurelweir.resumption.StreamKey}
     * @param service the service that a new stream would go to
     * @param window how long ago the stream may have begun
     */
    record StreamOriginRequested(long call, long stream, String service, Duration window)
            implements ControlEvent {}

    /** A caller requests the operator's own text of the newest accepted settings. */
    record SourceRequested(long call) implements ControlEvent {}

    /** A caller sends a command. The leader replaces the command's timestamp with its own time. */
    record CommandReceived(long call, Command command) implements ControlEvent {}

    /**
     * A caller requests settings.
     *
     * @param path the path of one node, or null for all nodes
     * @param linearizable whether to return an error rather than settings that may be stale
     * @param position an earlier log position, or 0 for the current settings
     */
    record SettingsRequested(long call, NodePath path, boolean linearizable, long position)
            implements ControlEvent {}

    /**
     * A caller requests the history of accepted changes.
     *
     * @param path the path of one node, or null for all nodes
     * @param limit maximum number of entries
     */
    record HistoryRequested(long call, NodePath path, int limit) implements ControlEvent {}

    /** An operator requests the status of the fleet. */
    record StatusRequested(long call) implements ControlEvent {}

    /** An operator requests to release a request from quarantine. */
    record ReleaseRequested(long call, SuspectKey key, String author) implements ControlEvent {}

    /** An operator requests a change of the replicas by one step. */
    record MembershipChangeRequested(long call, MembershipChange change) implements ControlEvent {}

    /**
     * A peer requests an update.
     *
     * @param crashesVersion the version up to which the peer has this instance's crash records
     * @param withRouters whether to include the routers that exchange with this instance
     */
    record PeerUpdateRequested(
            long call,
            String peer,
            MembershipCursor cursor,
            long crashesVersion,
            boolean withRouters)
            implements ControlEvent {}

    /** A peer answers a request for an update. */
    record PeerUpdateReceived(
            String peer,
            PeerUpdate update,
            CrashDelta crashes,
            List<RouterInstanceStatus> routers,
            ControlInstanceStatus status)
            implements ControlEvent {}

    /** A peer sends changes at once, before this instance next requests an update. */
    record PeerAnnounced(
            List<Announcement> announcements, List<CrashRecord> crashes, PeerLoads loads)
            implements ControlEvent {}
}
