package org.laurelweir.router.rpc;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.util.List;
import java.util.function.Consumer;
import org.laurelweir.lib.ResultCode;
import org.laurelweir.routing.RouterEffect;
import org.laurelweir.routing.RouterEvent;
import org.laurelweir.runtime.rpc.Channels;
import org.laurelweir.wire.IdCodec;
import org.laurelweir.wire.v1.ClaimReply;
import org.laurelweir.wire.v1.ClaimRequest;
import org.laurelweir.wire.v1.SettleClaimReply;
import org.laurelweir.wire.v1.SettleClaimRequest;

/** Calls control to claim idempotency keys and to settle the claims. */
public final class ClaimCalls {
    private static final FluentLogger sLogger = FluentLogger.forEnclosingClass();

    private final ControlLeader mLeader;
    private final Consumer<RouterEvent> mEvents;

    /**
     * Creates the calls.
     *
     * @param channels connections to control instances
     * @param controls addresses of control instances, host:port; at least one
     * @param timeout maximum wait for the answer of one instance
     * @param events receives the answers, on any thread
     */
    public ClaimCalls(
            Channels channels,
            List<String> controls,
            Duration timeout,
            Consumer<RouterEvent> events) {
        mLeader = new ControlLeader(channels, controls, timeout);
        mEvents = events;
    }

    /** Replaces the addresses of control instances by those that control reports. */
    public void setControls(List<String> controls) {
        mLeader.setAddresses(controls);
    }

    /** Requests a claim. The answer, or the failure, is reported as an event. */
    public void claim(RouterEffect.Claim e) {
        ClaimRequest request = toWire(e);
        mLeader.call(
                new ControlLeader.LeaderRequest<ClaimReply>(
                        s -> s.claim(request),
                        r -> r.getCode() == ResultCode.NOT_LEADER.number(),
                        ClaimReply::getLeader),
                r -> mEvents.accept(toEvent(e, r)),
                f -> mEvents.accept(unavailableEvent(e)));
    }

    private static ClaimRequest toWire(RouterEffect.Claim e) {
        ClaimRequest.Builder request =
                ClaimRequest.newBuilder()
                        .setAccount(e.account())
                        .setKey(e.key())
                        .setService(e.service())
                        .setFingerprint(e.fingerprint())
                        .setAttempt(IdCodec.toWire(e.attempt()))
                        .setTarget(IdCodec.toWire(e.target()))
                        .setRetentionMillis(e.retention().toMillis());
        if (e.replaces() != null) {
            request.setReplaces(IdCodec.toWire(e.replaces()));
        }
        return request.build();
    }

    private static RouterEvent toEvent(RouterEffect.Claim e, ClaimReply r) {
        return new RouterEvent.ClaimAnswered(
                e.attempt(),
                ResultCode.of(r.getCode()),
                IdCodec.toCore(r.getHolder()),
                IdCodec.toCore(r.getHolderTarget()),
                r.getSettled(),
                ResultCode.of(r.getSettledCode()));
    }

    private static RouterEvent unavailableEvent(RouterEffect.Claim e) {
        return new RouterEvent.ClaimAnswered(
                e.attempt(),
                ResultCode.CLAIM_UNAVAILABLE,
                e.attempt(),
                e.target(),
                false,
                ResultCode.OK);
    }

    /**
     * Records the result of a claim's attempt. It is retried a limited number of times only: if the
     * record is lost, a resent request costs one more call to the sidecar.
     */
    public void settle(RouterEffect.SettleClaim e) {
        SettleClaimRequest request =
                SettleClaimRequest.newBuilder()
                        .setAccount(e.account())
                        .setKey(e.key())
                        .setAttempt(IdCodec.toWire(e.attempt()))
                        .setCode(e.code().number())
                        .build();
        mLeader.call(
                new ControlLeader.LeaderRequest<SettleClaimReply>(
                        s -> s.settleClaim(request),
                        r -> r.getCode() == ResultCode.NOT_LEADER.number(),
                        SettleClaimReply::getLeader),
                r -> {},
                f ->
                        sLogger.atWarning().log(
                                "the end of %s is not recorded: %s", e.attempt(), f.getMessage()));
    }
}
