package org.laurelweir.coordination;

import org.laurelweir.membership.Backend;
import org.laurelweir.membership.SidecarReport;

/**
 * The status of a backend server as shown to an operator.
 *
 * @param backend the backend server as announced
 * @param report the last report of its sidecar, or null if the sidecar reports to another control
 *     instance
 * @param drainOrdered whether an operator has ordered to drain it
 */
public record BackendServerStatus(Backend backend, SidecarReport report, boolean drainOrdered) {}
