package org.laurelweir.wire;

import java.time.Duration;
import java.util.List;
import org.laurelweir.quarantine.Crash;
import org.laurelweir.quarantine.CrashRecord;
import org.laurelweir.quarantine.SuspectKey;
import org.laurelweir.wire.v1.SuspectKind;

/** Converts the records of suspects under which backend servers crashed. */
public final class CrashCodec {
    private CrashCodec() {}

    /** Returns the messages of records. */
    public static List<org.laurelweir.wire.v1.CrashRecord> toWire(List<CrashRecord> records) {
        return records.stream().map(CrashCodec::toWire).toList();
    }

    /** Returns the records that messages hold. */
    public static List<CrashRecord> toCore(List<org.laurelweir.wire.v1.CrashRecord> records) {
        return records.stream().map(CrashCodec::toCore).toList();
    }

    private static org.laurelweir.wire.v1.CrashRecord toWire(CrashRecord r) {
        org.laurelweir.wire.v1.CrashRecord.Builder builder =
                org.laurelweir.wire.v1.CrashRecord.newBuilder()
                        .setAccount(r.key().account())
                        .setFingerprint(r.key().id())
                        .setKind(toWire(r.key().kind()))
                        .setServedBefore(r.servedBefore())
                        .setService(r.service());
        r.crashes().forEach(c -> builder.addCrashes(toWire(c)));
        return builder.build();
    }

    private static org.laurelweir.wire.v1.Crash toWire(Crash c) {
        return org.laurelweir.wire.v1.Crash.newBuilder()
                .setServer(IdCodec.toWire(c.server()))
                .setRouter(c.router())
                .setAgeMillis(c.age().toMillis())
                .setExcused(c.excused())
                .setService(c.owner().service())
                .setAccount(c.owner().account())
                .setSeveralAccounts(c.owner().severalAccounts())
                .build();
    }

    private static SuspectKind toWire(SuspectKey.Kind kind) {
        return switch (kind) {
            case REQUEST -> SuspectKind.SUSPECT_KIND_REQUEST;
            case PROMPT_PART -> SuspectKind.SUSPECT_KIND_PROMPT_PART;
        };
    }

    /** Returns the key of a suspect of a kind; of a part of prompts, it has no account. */
    public static SuspectKey toKey(SuspectKind kind, String account, long id) {
        return kind == SuspectKind.SUSPECT_KIND_PROMPT_PART
                ? SuspectKey.promptPart(id)
                : SuspectKey.request(account, id);
    }

    private static CrashRecord toCore(org.laurelweir.wire.v1.CrashRecord r) {
        return new CrashRecord(
                toKey(r.getKind(), r.getAccount(), r.getFingerprint()),
                r.getService(),
                r.getServedBefore(),
                r.getCrashesList().stream().map(CrashCodec::toCore).toList());
    }

    private static Crash toCore(org.laurelweir.wire.v1.Crash c) {
        return new Crash(
                IdCodec.toCore(c.getServer()),
                c.getRouter(),
                Duration.ofMillis(c.getAgeMillis()),
                c.getExcused(),
                new Crash.Owner(c.getService(), c.getAccount(), c.getSeveralAccounts()));
    }
}
