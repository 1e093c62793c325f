package org.laurelweir.admission;

import java.util.List;
import java.util.Map;
import org.laurelweir.attempt.AttemptFrame;
import org.laurelweir.attempt.AttemptRequest;
import org.laurelweir.attempt.AttemptState;
import org.laurelweir.lib.AttemptId;
import org.laurelweir.lib.BackendRef;
import org.laurelweir.lib.Decision;
import org.laurelweir.lib.ResultCode;
import org.laurelweir.membership.MembershipCursor;
import org.laurelweir.membership.SidecarReport;

/** The effects that a sidecar's reducer requests. The sidecar program carries them out. */
public sealed interface SidecarEffect {
    /** Sends a frame to the router on a stream. */
    record SendFrame(long stream, AttemptFrame frame) implements SidecarEffect {}

    /** Closes a stream after its last frame. */
    record CloseStream(long stream) implements SidecarEffect {}

    /** Answers a router's revocation with the attempt's state. */
    record AnswerRevoke(long call, AttemptState state, BackendRef self) implements SidecarEffect {}

    /** Starts the call to the backend server. */
    record StartEngineCall(AttemptRequest request) implements SidecarEffect {}

    /** Closes the call to the backend server, which cancels its work. */
    record CancelEngineCall(AttemptId attempt) implements SidecarEffect {}

    /** Resumes or stops reading the backend server's answer. */
    record SetEngineCallReading(AttemptId attempt, boolean reading) implements SidecarEffect {}

    /** Sends a report to a control instance and asks for the changes since the cursor. */
    record SendExchange(SidecarReport report, MembershipCursor cursor) implements SidecarEffect {}

    /**
     * Asks another sidecar for chat locations.
     *
     * @param requestId id of the request, which the reply repeats
     * @param address the other sidecar's address
     * @param chats the keys of the chats
     */
    record LocateChats(long requestId, String address, List<Long> chats) implements SidecarEffect {}

    /**
     * Answers another sidecar's request for chat locations.
     *
     * @param call the call to answer
     * @param locations names of backend servers by chat key; without the chats whose location is
     *     unknown
     */
    record AnswerLocateChats(long call, Map<Long, String> locations) implements SidecarEffect {}

    /**
     * Sends chat locations to the sidecar that is, or is about to become, the home of the chats.
     *
     * @param address the other sidecar's address
     * @param locations names of backend servers by chat key
     */
    record HandOverChats(String address, Map<Long, String> locations) implements SidecarEffect {}

    /** Passes an order to the backend server and answers the call with its reply. */
    record PassOrder(long call, String kind, String argument, long fence)
            implements SidecarEffect {}

    /** Refuses an order. */
    record RefuseOrder(long call, ResultCode code, String message) implements SidecarEffect {}

    /** Logs a decision and keeps it for {@code explain}. */
    record LogDecision(Decision decision) implements SidecarEffect {}

    /**
     * Reports that control knows a later incarnation of this sidecar.
     *
     * @param incarnation the latest incarnation that control knows
     * @param idle whether this sidecar holds no attempt, so that it can continue as a still later
     *     incarnation
     */
    record Superseded(long incarnation, boolean idle) implements SidecarEffect {}

    /** Reports that all attempts have ended and the process may exit. */
    record Stopped() implements SidecarEffect {}
}
