package org.laurelweir.router.request;

import java.time.Duration;
import org.laurelweir.placement.OutlierConfig;
import org.laurelweir.routing.RequestPolicy;
import org.laurelweir.settings.EffectiveSettings;
import org.laurelweir.settings.SettingKeys;

/** Takes what binds a request out of the settings. */
final class Policies {
    private Policies() {}

    static RequestPolicy of(EffectiveSettings s) {
        return new RequestPolicy(
                s.get(SettingKeys.BOUND_FACTOR),
                s.get(SettingKeys.RETRY_MAX_ATTEMPTS),
                s.get(SettingKeys.RETRY_BUDGET_SHARE),
                s.get(SettingKeys.RETRY_BACKOFF_MIN),
                s.get(SettingKeys.RETRY_BACKOFF_MAX),
                s.get(SettingKeys.ACCOUNT_WEIGHT),
                s.get(SettingKeys.ACCOUNT_MAX_RUNNING),
                s.get(SettingKeys.ACCOUNT_RATE),
                s.get(SettingKeys.CLAIM_RETENTION),
                s.get(SettingKeys.STREAM_SILENCE),
                ejection(s));
    }

    private static OutlierConfig ejection(EffectiveSettings s) {
        Duration cooldown = s.get(SettingKeys.EJECTION_COOLDOWN);
        return new OutlierConfig(
                s.get(SettingKeys.EJECTION_FAILURES),
                cooldown,
                OutlierConfig.DEFAULT.maxCooldown(),
                s.get(SettingKeys.EJECTION_MAX_SHARE));
    }
}
