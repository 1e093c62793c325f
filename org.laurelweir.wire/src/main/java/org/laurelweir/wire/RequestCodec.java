package org.laurelweir.wire;

import java.time.Duration;
import java.time.Instant;
import org.laurelweir.coordination.Command;
import org.laurelweir.lib.AttemptId;
import org.laurelweir.lib.ResultCode;
import org.laurelweir.wire.v1.ChangeSettingsRequest;
import org.laurelweir.wire.v1.ClaimRequest;
import org.laurelweir.wire.v1.DrainDataCentreRequest;
import org.laurelweir.wire.v1.DrainRequest;
import org.laurelweir.wire.v1.IssueFenceRequest;
import org.laurelweir.wire.v1.SettleClaimRequest;

/**
 * Converts requests that become commands of the log. Requests hold no time: the leader sets the
 * time of the command.
 */
public final class RequestCodec {
    private RequestCodec() {}

    /** Returns the command for a request, with the time that the leader sets. */
    public static Command.ChangeSettings toCore(ChangeSettingsRequest r, Instant timestamp) {
        return new Command.ChangeSettings(
                timestamp,
                r.getChangeId(),
                r.getAuthor(),
                SettingsCodec.changesToCore(r.getChangesList()));
    }

    /** Returns the request of a claim. */
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

    /** Returns the command for a request, with the time that the leader sets. */
    public static Command.Claim toCore(ClaimRequest r, Instant timestamp) {
        AttemptId replaces = r.hasReplaces() ? IdCodec.toCore(r.getReplaces()) : null;
        return new Command.Claim(
                timestamp,
                r.getAccount(),
                r.getKey(),
                r.getService(),
                r.getFingerprint(),
                IdCodec.toCore(r.getAttempt()),
                IdCodec.toCore(r.getTarget()),
                replaces,
                Duration.ofMillis(r.getRetentionMillis()));
    }

    /** Returns the request that settles a claim. */
    public static SettleClaimRequest toWire(Command.SettleClaim c) {
        return SettleClaimRequest.newBuilder()
                .setAccount(c.account())
                .setKey(c.key())
                .setAttempt(IdCodec.toWire(c.attempt()))
                .setCode(c.code().number())
                .build();
    }

    /** Returns the command for a request, with the time that the leader sets. */
    public static Command.SettleClaim toCore(SettleClaimRequest r, Instant timestamp) {
        return new Command.SettleClaim(
                timestamp,
                r.getAccount(),
                r.getKey(),
                IdCodec.toCore(r.getAttempt()),
                ResultCode.of(r.getCode()));
    }

    /** Returns the request that starts or cancels a drain of a backend server. */
    public static DrainRequest toWire(Command.Drain c) {
        return DrainRequest.newBuilder()
                .setBackend(c.backend())
                .setDrain(c.drain())
                .setAuthor(c.author())
                .build();
    }

    /** Returns the command for a request, with the time that the leader sets. */
    public static Command.Drain toCore(DrainRequest r, Instant timestamp) {
        return new Command.Drain(timestamp, r.getBackend(), r.getDrain(), r.getAuthor());
    }

    /** Returns the request that starts or cancels a drain of a data centre. */
    public static DrainDataCentreRequest toWire(Command.DrainDataCentre c) {
        return DrainDataCentreRequest.newBuilder()
                .setDataCentre(c.dataCentre())
                .setDrain(c.drain())
                .setAuthor(c.author())
                .build();
    }

    /** Returns the command for a request, with the time that the leader sets. */
    public static Command.DrainDataCentre toCore(DrainDataCentreRequest r, Instant timestamp) {
        return new Command.DrainDataCentre(
                timestamp, r.getDataCentre(), r.getDrain(), r.getAuthor());
    }

    /** Returns the request for a fencing token. */
    public static IssueFenceRequest toWire(Command.IssueFence c) {
        return IssueFenceRequest.newBuilder().setBackend(c.backend()).build();
    }

    /** Returns the command for a request, with the time that the leader sets. */
    public static Command.IssueFence toCore(IssueFenceRequest r, Instant timestamp) {
        return new Command.IssueFence(timestamp, r.getBackend());
    }
}
