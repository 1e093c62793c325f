package org.laurelweir.placement;

import java.time.Duration;

/**
 * When a failing backend server is ejected, and for how long.
 *
 * @param failures consecutive failures that eject it
 * @param cooldown duration of the first ejection; each further one lasts twice as long
 * @param maxCooldown maximum duration of an ejection
 * @param maxShare maximum share of a service's servers that are ejected at once, from 0 to 1
 */
public record OutlierConfig(
        int failures, Duration cooldown, Duration maxCooldown, double maxShare) {
    /** The values until settings arrive. */
    public static final OutlierConfig DEFAULT =
            new OutlierConfig(3, Duration.ofSeconds(2), Duration.ofMinutes(2), 0.1);
}
