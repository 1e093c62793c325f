package org.laurelweir.runtime.rpc;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.laurelweir.contention.ContentionDigest;
import org.laurelweir.load.LoadDigest;
import org.laurelweir.membership.MembershipDelta;
import org.laurelweir.membership.PlacementRules;
import org.laurelweir.membership.ServiceLoad;
import org.laurelweir.quarantine.CrashDelta;
import org.laurelweir.settings.SettingsDelta;
import org.laurelweir.wire.ContentionCodec;
import org.laurelweir.wire.CrashCodec;
import org.laurelweir.wire.LoadCodec;
import org.laurelweir.wire.MembershipCodec;
import org.laurelweir.wire.PlacementRulesCodec;
import org.laurelweir.wire.SettingsCodec;
import org.laurelweir.wire.v1.ExchangeReply;

/**
 * A control instance's answer to an exchange.
 *
 * @param membership the changes that the requester's view of the membership lacks
 * @param crashes crashes of backend servers under requests that the requester does not know yet;
 *     for routers
 * @param digest load digest of the requests in flight at all routers; for routers
 * @param loads the mean work of each service behind sidecars that the requester needs
 * @param settings the settings nodes that changed since the requester's position
 * @param possiblyStale whether the instance cannot confirm that its settings are the newest
 * @param nextExchange how long to wait before the next exchange
 * @param drain whether an operator ordered a drain of this backend server; for sidecars
 * @param fence the highest fencing token of this backend server; for sidecars
 * @param controls every control instance, host:port
 * @param routers number of serving routers, 0 if unknown; for routers
 * @param settingsAge maximum age, when the answer was made, of the confirmation that the settings
 *     are the newest; empty if they are not confirmed
 * @param rules rules for where requests may go; for routers
 * @param contention the demand of all routers; for routers that have reported demand
 */
public record ExchangeAnswer(
        MembershipDelta membership,
        CrashDelta crashes,
        LoadDigest digest,
        List<ServiceLoad> loads,
        SettingsDelta settings,
        boolean possiblyStale,
        Duration nextExchange,
        boolean drain,
        long fence,
        List<String> controls,
        int routers,
        Optional<Duration> settingsAge,
        PlacementRules rules,
        ContentionDigest contention) {

    static ExchangeAnswer of(ExchangeReply reply) {
        return new ExchangeAnswer(
                MembershipCodec.toCore(reply.getMembership()),
                new CrashDelta(
                        reply.getCrashesVersion(), CrashCodec.toCore(reply.getCrashesList())),
                LoadCodec.toCore(reply.getLoadDigest()),
                reply.getLoadsList().stream().map(MembershipCodec::toCore).toList(),
                SettingsCodec.toCore(reply.getSettings()),
                reply.getPossiblyStale(),
                Duration.ofMillis(reply.getNextExchangeMillis()),
                reply.getDrain(),
                reply.getFence(),
                List.copyOf(reply.getControlsList()),
                reply.getRouters(),
                reply.hasSettingsAgeMillis()
                        ? Optional.of(
                                Duration.ofMillis(
                                        Integer.toUnsignedLong(reply.getSettingsAgeMillis())))
                        : Optional.empty(),
                PlacementRulesCodec.toCore(reply),
                ContentionCodec.toCore(reply.getContention()));
    }
}
