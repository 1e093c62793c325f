package org.laurelweir.runtime.rpc;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.laurelweir.load.LoadDigest;
import org.laurelweir.membership.MembershipDelta;
import org.laurelweir.membership.ServiceLoad;
import org.laurelweir.quarantine.CrashDelta;
import org.laurelweir.settings.SettingsDelta;
import org.laurelweir.wire.CrashCodec;
import org.laurelweir.wire.LoadCodec;
import org.laurelweir.wire.MembershipCodec;
import org.laurelweir.wire.SettingsCodec;
import org.laurelweir.wire.v1.ExchangeReply;

/**
 * What a control instance answered to an exchange.
 *
 * @param membership what the asker's view lacks
 * @param crashes under which requests backend servers ended, as far as the asker lacks it; for
 *     routers
 * @param digest what all routers have under way; for routers
 * @param loads the mean work of each service behind sidecars that the asker needs
 * @param settings the nodes that changed since the asker's position
 * @param possiblyStale whether the instance can't confirm that its settings are the newest
 * @param nextExchange how long to wait before the next exchange
 * @param drain whether an operator wants this backend server drained; for sidecars
 * @param fence the highest fencing number of this backend server; for sidecars
 * @param controls every control instance, host:port
 * @param routers routers that serve, 0 if not told; for routers
 * @param settingsAge how long ago, at most, the settings were confirmed to be the newest as the
 *     answer was made; nothing if they were not
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
        Optional<Duration> settingsAge) {

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
                        : Optional.empty());
    }
}
