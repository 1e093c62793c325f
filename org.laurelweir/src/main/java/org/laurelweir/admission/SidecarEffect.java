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

/** Everything that a sidecar's reducer wants done. */
public sealed interface SidecarEffect {
    /** Send a frame to the router on a stream. */
    record SendFrame(long stream, AttemptFrame frame) implements SidecarEffect {}

    /** End a stream after its last frame. */
    record CloseStream(long stream) implements SidecarEffect {}

    /** Answer a revocation. */
    record AnswerRevoke(long call, AttemptState state, BackendRef self) implements SidecarEffect {}

    /** Make the call to the backend server. */
    record StartEngineCall(AttemptRequest request) implements SidecarEffect {}

    /** Drop the call to the backend server, which cancels its work. */
    record CancelEngineCall(AttemptId attempt) implements SidecarEffect {}

    /** Read the backend server's answer on, or read no further until told. */
    record SetEngineCallReading(AttemptId attempt, boolean reading) implements SidecarEffect {}

    /** Exchange with a control instance. */
    record SendExchange(SidecarReport report, MembershipCursor cursor) implements SidecarEffect {}

    /** Ask another sidecar where chats sit. */
    record LocateChats(long question, String address, List<Long> chats) implements SidecarEffect {}

    /** Answer another sidecar that asked where chats sit. */
    record AnswerLocateChats(long call, Map<Long, String> locations) implements SidecarEffect {}

    /** Hand directory entries over to another sidecar. */
    record HandOverChats(String address, Map<Long, String> locations) implements SidecarEffect {}

    /** Pass an order on to the backend server and answer the call with what it says. */
    record PassOrder(long call, String kind, String argument, long fence)
            implements SidecarEffect {}

    /** Refuse an order. */
    record RefuseOrder(long call, ResultCode code, String message) implements SidecarEffect {}

    /** Log a decision and keep it for {@code explain}. */
    record LogDecision(Decision decision) implements SidecarEffect {}

    /**
     * Control knows a later incarnation of this sidecar than this one.
     *
     * @param idle whether nothing was begun here, so that a still later one can take over
     */
    record Superseded(long incarnation, boolean idle) implements SidecarEffect {}

    /** Everything in flight has ended: the process may exit. */
    record Stopped() implements SidecarEffect {}
}
