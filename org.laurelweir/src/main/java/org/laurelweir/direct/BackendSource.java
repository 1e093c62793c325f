package org.laurelweir.direct;

import org.laurelweir.membership.Backend;
import org.laurelweir.placement.ServiceView;

/** Supplies the backend servers that the router knows from announcements. */
public interface BackendSource {
    /** Returns the backend servers of a service; empty if the service is unknown. */
    ServiceView view(String service);

    /** Returns the latest announcement of a backend server, or null if it is unknown. */
    Backend backend(String id);
}
