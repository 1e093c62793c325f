package org.laurelweir.settings;

import java.time.Duration;
import org.laurelweir.admission.SidecarSettings;
import org.laurelweir.placement.BoundConfig;
import org.laurelweir.placement.OutlierConfig;
import org.laurelweir.routing.RequestPolicy;

/** Turns resolved settings into the records that the reducers take. */
public final class Policies {
    private Policies() {}

    /** Returns what binds one request. */
    public static RequestPolicy request(EffectiveSettings s) {
        Duration backoffMin = s.get(SettingKeys.RETRY_BACKOFF_MIN);
        return new RequestPolicy(
                s.get(SettingKeys.BOUND_FACTOR),
                s.get(SettingKeys.RETRY_MAX_ATTEMPTS),
                s.get(SettingKeys.RETRY_BUDGET_SHARE),
                backoffMin,
                longer(backoffMin, s.get(SettingKeys.RETRY_BACKOFF_MAX)),
                s.get(SettingKeys.ACCOUNT_WEIGHT),
                s.get(SettingKeys.ACCOUNT_MAX_RUNNING),
                s.get(SettingKeys.ACCOUNT_RATE),
                s.get(SettingKeys.CLAIM_RETENTION),
                s.get(SettingKeys.STREAM_SILENCE));
    }

    /** Returns what binds one sidecar; resolved for its service. */
    public static SidecarSettings sidecar(EffectiveSettings s) {
        return new SidecarSettings(
                bound(s.get(SettingKeys.BOUND_FACTOR)),
                new SidecarSettings.QueueLimits(
                        s.get(SettingKeys.QUEUE_MAX_REQUESTS),
                        s.get(SettingKeys.QUEUE_MAX_BYTES).bytes(),
                        s.get(SettingKeys.QUEUE_MAX_AGE)),
                new SidecarSettings.OutputLimits(
                        s.get(SettingKeys.OUTPUT_KEEP_BYTES).bytes(),
                        SidecarSettings.DEFAULT.output().attemptBytes(),
                        s.get(SettingKeys.OUTPUT_KEEP_TIME)),
                s.get(SettingKeys.DRAIN_TIMEOUT),
                s.get(SettingKeys.STREAM_PROGRESS_INTERVAL),
                s.get(SettingKeys.SERVICE_OUTPUT_TOKENS),
                s.get(SettingKeys.SERVICE_CACHE_TOKENS),
                SidecarSettings.DEFAULT.refusalStatuses());
    }

    /** Returns the bound of a factor; a low factor leaves less headroom and less room for chats. */
    private static BoundConfig bound(double factor) {
        BoundConfig d = SidecarSettings.DEFAULT.bound();
        return new BoundConfig(
                factor,
                Math.min(d.headroom(), 1 - 1 / factor),
                Math.min(d.uncachedFactor(), factor),
                d.capacityFloor(),
                d.prefillWeight(),
                d.maxRedirects());
    }

    /** Returns when a router passes over a backend server; resolved for its service. */
    public static OutlierConfig outliers(EffectiveSettings s) {
        return new OutlierConfig(
                s.get(SettingKeys.EJECTION_FAILURES),
                s.get(SettingKeys.EJECTION_COOLDOWN),
                OutlierConfig.DEFAULT.maxCooldown(),
                s.get(SettingKeys.EJECTION_MAX_SHARE));
    }

    /**
     * Returns the time for a whole answer.
     *
     * @param s resolved for the call
     * @param asked what the caller asks for, or null
     */
    public static Duration deadline(EffectiveSettings s, Duration asked) {
        Duration wanted = asked == null ? s.get(SettingKeys.DEADLINE_DEFAULT) : asked;
        Duration max = s.get(SettingKeys.DEADLINE_MAX);
        return wanted.compareTo(max) > 0 ? max : wanted;
    }

    private static Duration longer(Duration a, Duration b) {
        return a.compareTo(b) > 0 ? a : b;
    }
}
