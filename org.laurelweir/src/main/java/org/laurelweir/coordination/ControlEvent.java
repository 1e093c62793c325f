package org.laurelweir.coordination;

import java.util.List;
import org.laurelweir.consensus.ConsensusEvent;
import org.laurelweir.consensus.MembershipChange;
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
import org.laurelweir.quarantine.RequestKey;
import org.laurelweir.settings.NodePath;

/**
 * Everything that a control instance's reducer reacts to. A call's number is the shell's; each call
 * is answered by one effect under the same number.
 */
public sealed interface ControlEvent {
    /** Time has passed; the shell sends one every few tens of milliseconds. */
    record Tick() implements ControlEvent {}

    /** Something happened to the replica of the log. */
    record ReplicaEvent(ConsensusEvent event) implements ControlEvent {}

    /** A sidecar reports and asks for what is new. */
    record SidecarExchanged(
            long call, SidecarReport report, MembershipCursor cursor, long settingsPosition)
            implements ControlEvent {}

    /**
     * A router reports and asks for what is new.
     *
     * @param loads what it has under way at backend servers without sidecars
     */
    record RouterExchanged(
            long call,
            RouterReport report,
            MembershipCursor cursor,
            long settingsPosition,
            CrashReport crashes,
            LoadReport loads)
            implements ControlEvent {}

    /**
     * A backend server without a sidecar announced itself.
     *
     * @param backend its session is the announcement's own number, which rises from one to the next
     *     within one start; its incarnation is when it started, 0 where it does not tell
     */
    record BackendAnnounced(long call, Backend backend) implements ControlEvent {}

    /**
     * A backend server without a sidecar said that it leaves.
     *
     * @param backend the incarnation is when it started, 0 where it does not tell
     */
    record BackendWithdrawn(long call, BackendRef backend) implements ControlEvent {}

    /** Someone reads the operator's own text of the settings, the newest that was accepted. */
    record SourceRequested(long call) implements ControlEvent {}

    /** Someone wants a command carried out; the time in it is replaced by the leader's. */
    record CommandReceived(long call, Command command) implements ControlEvent {}

    /**
     * Someone reads settings.
     *
     * @param path one node, or null for all
     * @param linearizable whether to refuse rather than answer what may be stale
     * @param position an earlier log position, or 0 for what is in force
     */
    record SettingsRequested(long call, NodePath path, boolean linearizable, long position)
            implements ControlEvent {}

    /**
     * Someone reads accepted changes.
     *
     * @param path only those of one node, or null for all
     */
    record HistoryRequested(long call, NodePath path, int limit) implements ControlEvent {}

    /** An operator asks how the fleet does. */
    record StatusRequested(long call) implements ControlEvent {}

    /** An operator wants a request sent again that is kept away from backend servers. */
    record ReleaseRequested(long call, RequestKey key, String author) implements ControlEvent {}

    /** An operator wants the replicas changed by one step. */
    record MembershipChangeRequested(long call, MembershipChange change) implements ControlEvent {}

    /**
     * A peer asks for what is heard here.
     *
     * @param crashesSeen how far it has this instance's records of crashes
     */
    record PeerUpdateRequested(
            long call, String peer, MembershipCursor cursor, long crashesSeen, boolean withRouters)
            implements ControlEvent {}

    /** A peer answered what it hears. */
    record PeerUpdateReceived(
            String peer,
            PeerUpdate share,
            CrashDelta crashes,
            List<RouterInstanceStatus> routers,
            ControlInstanceStatus status)
            implements ControlEvent {}

    /** A peer passes on at once what changed there. */
    record PeerAnnounced(
            List<Announcement> announcements, List<CrashRecord> crashes, PeerLoads loads)
            implements ControlEvent {}
}
