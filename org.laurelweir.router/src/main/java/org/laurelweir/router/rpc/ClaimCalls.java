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

/** Carries out what concerns claims on idempotency keys. */
public final class ClaimCalls {
    private static final FluentLogger sLogger = FluentLogger.forEnclosingClass();

    private final ControlLeader mLeader;
    private final Consumer<RouterEvent> mEvents;

    /**
     * Creates the calls.
     *
     * @param channels connections to control instances
     * @param controls where they listen, host:port; at least one
     * @param timeout longest wait for one instance's answer
     * @param events takes the answers, from any thread
     */
    public ClaimCalls(
            Channels channels,
            List<String> controls,
            Duration timeout,
            Consumer<RouterEvent> events) {
        mLeader = new ControlLeader(channels, controls, timeout);
        mEvents = events;
    }

    /** Takes the control instances that control itself names. */
    public void useControls(List<String> controls) {
        mLeader.useAddresses(controls);
    }

    /** Asks for a claim. */
    public void claim(RouterEffect.Claim e) {
        ClaimRequest request = message(e);
        mLeader.ask(
                new ControlLeader.Question<ClaimReply>(
                        s -> s.claim(request),
                        r -> r.getCode() == ResultCode.NOT_LEADER.number(),
                        ClaimReply::getLeader),
                r -> mEvents.accept(answer(e, r)),
                f -> mEvents.accept(unavailable(e)));
    }

    private static ClaimRequest message(RouterEffect.Claim e) {
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

    private static RouterEvent answer(RouterEffect.Claim e, ClaimReply r) {
        return new RouterEvent.ClaimAnswered(
                e.attempt(),
                ResultCode.of(r.getCode()),
                IdCodec.toCore(r.getHolder()),
                IdCodec.toCore(r.getHolderTarget()),
                r.getSettled(),
                ResultCode.of(r.getSettledCode()));
    }

    private static RouterEvent unavailable(RouterEffect.Claim e) {
        return new RouterEvent.ClaimAnswered(
                e.attempt(),
                ResultCode.CLAIM_UNAVAILABLE,
                e.attempt(),
                e.target(),
                false,
                ResultCode.OK);
    }

    /**
     * Records how a claim's attempt ended. Losing this costs a resend one question to the sidecar,
     * so it is not tried for ever.
     */
    public void settle(RouterEffect.SettleClaim e) {
        SettleClaimRequest request =
                SettleClaimRequest.newBuilder()
                        .setAccount(e.account())
                        .setKey(e.key())
                        .setAttempt(IdCodec.toWire(e.attempt()))
                        .setCode(e.code().number())
                        .build();
        mLeader.ask(
                new ControlLeader.Question<SettleClaimReply>(
                        s -> s.settleClaim(request),
                        r -> r.getCode() == ResultCode.NOT_LEADER.number(),
                        SettleClaimReply::getLeader),
                r -> {},
                f ->
                        sLogger.atWarning().log(
                                "the end of %s is not recorded: %s", e.attempt(), f.getMessage()));
    }
}
