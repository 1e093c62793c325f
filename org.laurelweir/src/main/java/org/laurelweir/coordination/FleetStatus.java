package org.laurelweir.coordination;

import java.util.List;
import org.laurelweir.membership.ServiceLoad;
import org.laurelweir.quarantine.CrashRecord;

/**
 * The fleet as one control instance knows it.
 *
 * @param controls the control instances, this one first
 * @param backends the backend servers, those that left lately included
 * @param routers the routers
 * @param loads the services' loads
 * @param quarantined requests that are kept away from backend servers
 * @param settingsPosition the log position of the settings in force
 */
public record FleetStatus(
        List<ControlInstanceStatus> controls,
        List<BackendServerStatus> backends,
        List<RouterInstanceStatus> routers,
        List<ServiceLoad> loads,
        List<CrashRecord> quarantined,
        long settingsPosition) {}
