package org.laurelweir.admission;

import java.util.List;
import java.util.Map;
import org.laurelweir.answer.ServerNotice;
import org.laurelweir.attempt.AttemptRequest;
import org.laurelweir.attempt.Frame;
import org.laurelweir.attempt.Header;
import org.laurelweir.lib.AttemptId;
import org.laurelweir.lib.BackendRef;
import org.laurelweir.membership.MembershipDelta;
import org.laurelweir.membership.ServiceLoad;

/** The events that a sidecar's reducer handles. */
public sealed interface SidecarEvent {
    /** Time has passed. The sidecar program sends this event every few milliseconds. */
    record Tick() implements SidecarEvent {}

    /** A router requests an attempt. Frames about the attempt go to the stream. */
    record AttemptRequested(long stream, AttemptRequest request) implements SidecarEvent {}

    /** A router follows an attempt over a new stream, from a byte offset of its output on. */
    record AttemptResumed(long stream, AttemptId attempt, BackendRef target, long offset)
            implements SidecarEvent {}

    /** A router has received all output below the offset. */
    record OutputAcknowledged(AttemptId attempt, long offset) implements SidecarEvent {}

    /** A router cancels an attempt because the caller no longer wants the answer. */
    record AttemptCancelled(AttemptId attempt) implements SidecarEvent {}

    /**
     * A stream was closed. Its attempt runs on, since the router may follow it over another stream.
     */
    record StreamClosed(long stream) implements SidecarEvent {}

    /** A router asks for the state of an attempt, and revokes it if it has not started yet. */
    record AttemptRevoked(long call, AttemptId attempt, BackendRef target)
            implements SidecarEvent {}

    /** The backend server said something of itself in the head of an answer. */
    record EngineNoticed(ServerNotice notice) implements SidecarEvent {}

    /** The status and the headers of the backend server's answer have arrived. */
    record EngineHeadReceived(AttemptId attempt, int status, List<Header> headers)
            implements SidecarEvent {}

    /** A piece of the body of the backend server's answer has arrived. */
    record EngineDataReceived(AttemptId attempt, byte[] bytes) implements SidecarEvent {}

    /** The backend server's answer is complete. */
    record EngineFinished(AttemptId attempt, Frame.Usage usage) implements SidecarEvent {}

    /**
     * The call to the backend server failed.
     *
     * @param possiblySent whether any byte of the call may have reached the backend server
     */
    record EngineFailed(AttemptId attempt, boolean possiblySent, String message)
            implements SidecarEvent {}

    /** Reports whether the sidecar can reach the backend server. */
    record EngineReachabilityChanged(boolean reachable) implements SidecarEvent {}

    /**
     * A control instance answered an exchange.
     *
     * @param confirmed whether the instance has confirmed that the drain and the fence are up to
     *     date
     * @param drain whether an operator wants this backend server drained
     * @param fence the highest fencing token issued for this backend server
     */
    record ExchangeAnswered(
            MembershipDelta membership,
            List<ServiceLoad> loads,
            boolean confirmed,
            boolean drain,
            long fence)
            implements SidecarEvent {}

    /** The settings of this backend server's service changed. */
    record SettingsChanged(SidecarSettings settings) implements SidecarEvent {}

    /**
     * Another sidecar answered a request for chat locations.
     *
     * @param requestId id of the request
     * @param locations names of backend servers by chat key; without the chats whose location is
     *     unknown
     */
    record ChatsLocated(long requestId, Map<Long, String> locations) implements SidecarEvent {}

    /** Another sidecar requests chat locations. */
    record LocateChatsRequested(long call, List<Long> chats) implements SidecarEvent {}

    /**
     * Another sidecar sends locations of chats whose home is this server: it drains, or it has
     * answered one of these chats.
     *
     * @param from name of the other backend server
     * @param locations names of backend servers by chat key
     */
    record ChatsHandedOver(String from, Map<Long, String> locations) implements SidecarEvent {}

    /** An order for the backend server arrived. */
    record OrderReceived(long call, String kind, String argument, long fence)
            implements SidecarEvent {}

    /** The process was asked to stop: running attempts complete and no new ones start. */
    record StopRequested() implements SidecarEvent {}
}
