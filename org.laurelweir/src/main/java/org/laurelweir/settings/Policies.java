package org.laurelweir.settings;

import java.time.Duration;
import org.laurelweir.admission.SidecarSettings;
import org.laurelweir.placement.BoundConfig;
import org.laurelweir.placement.OutlierConfig;
import org.laurelweir.routing.RequestPolicy;

/** Converts resolved settings into the configuration records of the reducers. */
public final class Policies {
    private Policies() {}

    /** Returns the policy for one request. */
    public static RequestPolicy requestPolicy(EffectiveSettings s) {
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

    /**
     * Returns the settings of a sidecar.
     *
     * @param s the settings resolved for the sidecar's service
     */
    public static SidecarSettings sidecarSettings(EffectiveSettings s) {
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

    /** Returns the load bound; a low factor also lowers the headroom and the uncached factor. */
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

    /**
     * Returns the thresholds at which a router ejects a backend server.
     *
     * @param s the settings resolved for the backend server's service
     */
    public static OutlierConfig outlierConfig(EffectiveSettings s) {
        return new OutlierConfig(
                s.get(SettingKeys.EJECTION_FAILURES),
                s.get(SettingKeys.EJECTION_COOLDOWN),
                OutlierConfig.DEFAULT.maxCooldown(),
                s.get(SettingKeys.EJECTION_MAX_SHARE));
    }

    /**
     * Returns the maximum time for a whole answer.
     *
     * @param s the settings resolved for the call
     * @param requested the time that the caller requests, or null for the default
     */
    public static Duration deadline(EffectiveSettings s, Duration requested) {
        Duration timeout = requested == null ? s.get(SettingKeys.DEADLINE_DEFAULT) : requested;
        Duration max = s.get(SettingKeys.DEADLINE_MAX);
        return timeout.compareTo(max) > 0 ? max : timeout;
    }

    private static Duration longer(Duration a, Duration b) {
        return a.compareTo(b) > 0 ? a : b;
    }
}
