package org.laurelweir.hedging;

import java.time.Instant;
import org.laurelweir.lib.BackendRef;

/** Tells how long backend servers take for their work. */
@FunctionalInterface
public interface WorkTimes {
    /** Work times of servers that are all alike. */
    WorkTimes EQUAL = (now, service, ref) -> 1;

    /** Returns how long a backend server takes for its work, relative to its service. */
    double factor(Instant now, String service, BackendRef ref);
}
