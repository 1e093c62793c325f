package org.laurelweir.admission;

import java.util.List;
import java.util.Map;
import org.laurelweir.attempt.AttemptRequest;
import org.laurelweir.attempt.Frame;
import org.laurelweir.attempt.Header;
import org.laurelweir.lib.AttemptId;
import org.laurelweir.lib.BackendRef;
import org.laurelweir.membership.MembershipDelta;
import org.laurelweir.membership.ServiceLoad;

/** Everything that a sidecar's reducer reacts to. */
public sealed interface SidecarEvent {
    /** Time has passed; the shell sends one every few milliseconds. */
    record Tick() implements SidecarEvent {}

    /** A router wants an attempt run; frames about it go to the stream. */
    record AttemptRequested(long stream, AttemptRequest request) implements SidecarEvent {}

    /** A router follows an attempt over a new stream, from a byte offset of its output on. */
    record AttemptResumed(long stream, AttemptId attempt, BackendRef target, long offset)
            implements SidecarEvent {}

    /** A router has taken all output below the offset. */
    record OutputAcknowledged(AttemptId attempt, long offset) implements SidecarEvent {}

    /** The caller no longer wants the answer. */
    record AttemptCancelled(AttemptId attempt) implements SidecarEvent {}

    /** A stream is gone; its attempt goes on, for the router may follow it over another one. */
    record StreamClosed(long stream) implements SidecarEvent {}

    /** A router asks for an attempt's state and wants it never to start if it has not yet. */
    record AttemptRevoked(long call, AttemptId attempt, BackendRef target)
            implements SidecarEvent {}

    /** The backend server began to answer. */
    record EngineHeadReceived(AttemptId attempt, int status, List<Header> headers)
            implements SidecarEvent {}

    /** The backend server sent a piece of its answer's body. */
    record EngineDataReceived(AttemptId attempt, byte[] bytes) implements SidecarEvent {}

    /** The backend server's answer is whole. */
    record EngineFinished(AttemptId attempt, Frame.Usage usage) implements SidecarEvent {}

    /**
     * The call to the backend server failed.
     *
     * @param sent whether any byte of the call may have reached the backend server
     */
    record EngineFailed(AttemptId attempt, boolean possiblySent, String message)
            implements SidecarEvent {}

    /** Whether the backend server can be reached at all. */
    record EngineReachable(boolean reachable) implements SidecarEvent {}

    /**
     * A control instance answered an exchange.
     *
     * @param confirmed whether the instance vouches that the drain and the fence are up to date
     * @param drain whether an operator wants this backend server drained
     * @param fence the highest fencing number issued for this backend server
     */
    record ExchangeAnswered(
            MembershipDelta membership,
            List<ServiceLoad> loads,
            boolean confirmed,
            boolean drain,
            long fence)
            implements SidecarEvent {}

    /** Settings in force for this backend server's service changed. */
    record SettingsChanged(SidecarSettings settings) implements SidecarEvent {}

    /** Another sidecar answered where chats sit. */
    record ChatsLocated(long question, Map<Long, String> locations) implements SidecarEvent {}

    /** Another sidecar asks where chats sit. */
    record LocateChatsRequested(long call, List<Long> chats) implements SidecarEvent {}

    /** A sidecar that leaves hands over entries of chats whose home this one now is. */
    record ChatsHandedOver(String from, Map<Long, String> locations) implements SidecarEvent {}

    /** An order for the backend server arrived. */
    record OrderReceived(long call, String kind, String argument, long fence)
            implements SidecarEvent {}

    /** The process was asked to stop: finish what runs, take nothing new. */
    record StopRequested() implements SidecarEvent {}
}
