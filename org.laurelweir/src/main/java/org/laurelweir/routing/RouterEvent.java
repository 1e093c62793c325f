package org.laurelweir.routing;

import java.util.List;
import org.laurelweir.attempt.AttemptFrame;
import org.laurelweir.attempt.AttemptState;
import org.laurelweir.direct.DirectEvent;
import org.laurelweir.lib.AttemptId;
import org.laurelweir.lib.BackendRef;
import org.laurelweir.lib.ResultCode;
import org.laurelweir.load.LoadDigest;
import org.laurelweir.membership.MembershipDelta;
import org.laurelweir.membership.ServiceLoad;
import org.laurelweir.quarantine.CrashDelta;

/** Everything that a router's reducer reacts to. */
public sealed interface RouterEvent {
    /** Time has passed; the shell sends one every few milliseconds. */
    record Tick() implements RouterEvent {}

    /** A caller's request has been read whole. */
    record RequestArrived(long caller, CallerRequest request) implements RouterEvent {}

    /** The caller hung up. */
    record CallerGone(long caller) implements RouterEvent {}

    /** The caller took all output up to a byte offset. */
    record OutputConsumed(long caller, long offset) implements RouterEvent {}

    /** A frame arrived on a stream to a sidecar. */
    record FrameArrived(long stream, AttemptFrame frame) implements RouterEvent {}

    /**
     * A stream to a sidecar ended without a closing frame.
     *
     * @param sent whether any byte of the attempt may have reached the sidecar
     */
    record StreamLost(long stream, boolean sent, String message) implements RouterEvent {}

    /** A sidecar answered the revocation that was sent for a caller. */
    record RevokeAnswered(long caller, AttemptId attempt, AttemptState state)
            implements RouterEvent {}

    /** The revocation that was sent for a caller got no answer. */
    record RevokeFailed(long caller, AttemptId attempt, String message) implements RouterEvent {}

    /**
     * The control leader answered a claim.
     *
     * @param code OK where the attempt holds the claim now or another attempt held it before
     * @param holder the attempt that holds the claim
     * @param target where that attempt was sent
     * @param settled whether its end is recorded
     * @param settledCode how it ended
     */
    record ClaimAnswered(
            AttemptId attempt,
            ResultCode code,
            AttemptId holder,
            BackendRef target,
            boolean settled,
            ResultCode settledCode)
            implements RouterEvent {}

    /**
     * A control instance answered an exchange.
     *
     * @param crashes under which requests backend servers ended, as far as this router lacks it
     * @param digest what all routers have at backend servers
     * @param loads the mean work of services behind sidecars
     * @param routers routers that serve, this one included, or 0 if not told
     */
    record ExchangeAnswered(
            MembershipDelta membership,
            CrashDelta crashes,
            LoadDigest digest,
            List<ServiceLoad> loads,
            int routers)
            implements RouterEvent {}

    /** Something happened to a request that is routed without sidecars. */
    record Direct(DirectEvent event) implements RouterEvent {}

    /** No control instance answered. */
    record ExchangeFailed(String message) implements RouterEvent {}

    /** The process was asked to stop: finish what runs, take nothing new. */
    record StopRequested() implements RouterEvent {}
}
