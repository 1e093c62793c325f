package org.laurelweir.coordination;

import org.laurelweir.membership.Backend;
import org.laurelweir.membership.SidecarReport;

/**
 * A backend server as an operator sees it.
 *
 * @param backend as announced
 * @param report its last report, or null where another control instance hears it
 * @param drainOrdered whether an operator wants it drained
 */
public record BackendServerStatus(Backend backend, SidecarReport report, boolean drainOrdered) {}
