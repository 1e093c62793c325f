package org.laurelweir.direct;

import org.laurelweir.membership.Backend;
import org.laurelweir.placement.ServiceView;

/** The backend servers as the router knows them. */
public interface BackendSource {
    /** Returns a service's backend servers. */
    ServiceView view(String service);

    /** Returns a backend server as last announced, or null if it is not known. */
    Backend backend(String id);
}
