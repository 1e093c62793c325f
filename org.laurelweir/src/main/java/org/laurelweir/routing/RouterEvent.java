package org.laurelweir.routing;

import java.util.List;
import org.laurelweir.attempt.AttemptFrame;
import org.laurelweir.attempt.AttemptState;
import org.laurelweir.contention.ContentionDigest;
import org.laurelweir.direct.DirectEvent;
import org.laurelweir.lib.AttemptId;
import org.laurelweir.lib.BackendRef;
import org.laurelweir.lib.ResultCode;
import org.laurelweir.load.LoadDigest;
import org.laurelweir.membership.MembershipDelta;
import org.laurelweir.membership.PlacementRules;
import org.laurelweir.membership.ServiceLoad;
import org.laurelweir.quarantine.CrashDelta;

/** The events that a router's reducer handles. */
public sealed interface RouterEvent {
    /** Time has passed. The I/O code sends one tick every few milliseconds. */
    record Tick() implements RouterEvent {}

    /** A caller's request has been read completely. */
    record RequestArrived(long caller, CallerRequest request) implements RouterEvent {}

    /** The caller closed its connection. */
    record CallerGone(long caller) implements RouterEvent {}

    /** The caller consumed all output up to a byte offset. */
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
     * @param code OK if this attempt holds the claim now, or if another attempt already held it
     * @param holder the attempt that holds the claim
     * @param target the target that the holder was sent to
     * @param settled whether the holder's end is recorded
     * @param settledCode how the holder ended
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
     * @param crashes crash records that this router lacks: the requests under which backend servers
     *     crashed
     * @param digest the load of all routers at backend servers
     * @param loads the mean work of services with sidecars
     * @param routers the number of routers that serve, this one included, or 0 if unknown
     * @param rules rules for where requests may go
     * @param contention the demand of all routers; {@link ContentionDigest#NONE} if this router has
     *     reported none
     */
    record ExchangeAnswered(
            MembershipDelta membership,
            CrashDelta crashes,
            LoadDigest digest,
            List<ServiceLoad> loads,
            int routers,
            PlacementRules rules,
            ContentionDigest contention)
            implements RouterEvent {
        /** Creates the answer to a router that has reported no demand. */
        public ExchangeAnswered(
                MembershipDelta membership,
                CrashDelta crashes,
                LoadDigest digest,
                List<ServiceLoad> loads,
                int routers,
                PlacementRules rules) {
            this(membership, crashes, digest, loads, routers, rules, ContentionDigest.NONE);
        }
    }

    /** An event of a request that is routed without sidecars. */
    record Direct(DirectEvent event) implements RouterEvent {}

    /** No control instance answered. */
    record ExchangeFailed(String message) implements RouterEvent {}

    /** The process should stop: finish running requests and accept no new ones. */
    record StopRequested() implements RouterEvent {}
}
