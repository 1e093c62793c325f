package org.laurelweir.direct;

import java.time.Instant;
import org.laurelweir.lib.BackendRef;
import org.laurelweir.membership.Backend;
import org.laurelweir.placement.ServiceView;

/** The backend servers that the router knows from announcements and from their own answers. */
public interface BackendSource {
    /** Returns the backend servers of a service; empty if the service is unknown. */
    ServiceView view(String service);

    /**
     * Returns whether a backend server is in slow start, or may be since its data centre was
     * drained until lately.
     */
    default boolean isInSlowStart(String id, Instant now) {
        Backend b = backend(id);
        return b != null && b.slowStart();
    }

    /** Returns the latest announcement of a backend server, or null if it is unknown. */
    Backend backend(String id);

    /**
     * Records that a backend server told this router that it is about to stop. From now on it is
     * draining, whatever control says, until it starts again.
     *
     * @return whether this was unknown
     */
    boolean onLeaving(Instant now, BackendRef ref);
}
