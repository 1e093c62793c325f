package org.laurelweir.wire;

import java.time.Duration;
import java.time.Instant;
import org.laurelweir.coordination.Command;
import org.laurelweir.lib.AttemptId;
import org.laurelweir.lib.ResultCode;
import org.laurelweir.wire.v1.ChangeSettingsRequest;
import org.laurelweir.wire.v1.ClaimRequest;
import org.laurelweir.wire.v1.DrainRequest;
import org.laurelweir.wire.v1.IssueFenceRequest;
import org.laurelweir.wire.v1.SettleClaimRequest;

/** Converts requests that become commands of the log; their time is the leader's to give. */
public final class RequestCodec {
    private RequestCodec() {}

    /** Returns the command that a request asks for. */
    public static Command.ChangeSettings toCore(ChangeSettingsRequest r, Instant at) {
        return new Command.ChangeSettings(
                at,
                r.getChangeId(),
                r.getAuthor(),
                SettingsCodec.changesToCore(r.getChangesList()));
    }

    /** Returns the request for a claim. */
    public static ClaimRequest toWire(Command.Claim c) {
        ClaimRequest.Builder request =
                ClaimRequest.newBuilder()
                        .setAccount(c.account())
                        .setKey(c.key())
                        .setService(c.service())
                        .setFingerprint(c.fingerprint())
                        .setAttempt(IdCodec.toWire(c.attempt()))
                        .setTarget(IdCodec.toWire(c.target()))
                        .setRetentionMillis(c.retention().toMillis());
        if (c.replaces() != null) {
            request.setReplaces(IdCodec.toWire(c.replaces()));
        }
        return request.build();
    }

    /** Returns the command that a request asks for. */
    public static Command.Claim toCore(ClaimRequest r, Instant at) {
        AttemptId replaces = r.hasReplaces() ? IdCodec.toCore(r.getReplaces()) : null;
        return new Command.Claim(
                at,
                r.getAccount(),
                r.getKey(),
                r.getService(),
                r.getFingerprint(),
                IdCodec.toCore(r.getAttempt()),
                IdCodec.toCore(r.getTarget()),
                replaces,
                Duration.ofMillis(r.getRetentionMillis()));
    }

    /** Returns the request to settle a claim. */
    public static SettleClaimRequest toWire(Command.SettleClaim c) {
        return SettleClaimRequest.newBuilder()
                .setAccount(c.account())
                .setKey(c.key())
                .setAttempt(IdCodec.toWire(c.attempt()))
                .setCode(c.code().number())
                .build();
    }

    /** Returns the command that a request asks for. */
    public static Command.SettleClaim toCore(SettleClaimRequest r, Instant at) {
        return new Command.SettleClaim(
                at,
                r.getAccount(),
                r.getKey(),
                IdCodec.toCore(r.getAttempt()),
                ResultCode.of(r.getCode()));
    }

    /** Returns the request to drain or undrain. */
    public static DrainRequest toWire(Command.Drain c) {
        return DrainRequest.newBuilder()
                .setBackend(c.backend())
                .setDrain(c.drain())
                .setAuthor(c.author())
                .build();
    }

    /** Returns the command that a request asks for. */
    public static Command.Drain toCore(DrainRequest r, Instant at) {
        return new Command.Drain(at, r.getBackend(), r.getDrain(), r.getAuthor());
    }

    /** Returns the request for a fencing number. */
    public static IssueFenceRequest toWire(Command.IssueFence c) {
        return IssueFenceRequest.newBuilder().setBackend(c.backend()).build();
    }

    /** Returns the command that a request asks for. */
    public static Command.IssueFence toCore(IssueFenceRequest r, Instant at) {
        return new Command.IssueFence(at, r.getBackend());
    }
}
