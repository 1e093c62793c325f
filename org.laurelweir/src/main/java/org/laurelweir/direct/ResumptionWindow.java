package org.laurelweir.direct;

import java.time.Duration;

/** How long after its first event a stream can be taken up. */
final class ResumptionWindow {
    /** An answer and two more tries, each of at most the route's timeout. */
    private static final int TRIES = 3;

    private static final Duration MIN = Duration.ofSeconds(30);

    private ResumptionWindow() {}

    static Duration of(Route route) {
        Duration tries = route.timeout().multipliedBy(TRIES);
        return tries.compareTo(MIN) > 0 ? tries : MIN;
    }
}
