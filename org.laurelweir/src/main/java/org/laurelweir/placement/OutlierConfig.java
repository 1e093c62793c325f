package org.laurelweir.placement;

import java.time.Duration;

/**
 * When a failing backend server is passed over, and for how long.
 *
 * @param failures consecutive failures that eject it
 * @param cooldown how long the first ejection lasts; each further one doubles it
 * @param maxCooldown the longest ejection
 * @param maxShare the share of a service's servers that may be ejected at once, in 0 to 1
 */
public record OutlierConfig(
        int failures, Duration cooldown, Duration maxCooldown, double maxShare) {
    /** The defaults. */
    public static final OutlierConfig DEFAULT =
            new OutlierConfig(3, Duration.ofSeconds(2), Duration.ofMinutes(2), 0.1);
}
