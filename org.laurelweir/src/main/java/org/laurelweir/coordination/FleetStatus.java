package org.laurelweir.coordination;

import java.util.List;
import org.laurelweir.membership.ServiceLoad;
import org.laurelweir.quarantine.CrashRecord;

/**
 * The status of the fleet as known to one control instance.
 *
 * @param controls the statuses of the control instances heard within the last two seconds, this one
 *     first
 * @param backends the statuses of the backend servers, including recently departed ones
 * @param routers the statuses of the routers
 * @param loads the loads of the services
 * @param quarantined the crash records of the quarantined requests
 * @param drainedDataCentres the drain orders of data centres in force
 * @param settingsPosition the log position of the current settings
 */
public record FleetStatus(
        List<ControlInstanceStatus> controls,
        List<BackendServerStatus> backends,
        List<RouterInstanceStatus> routers,
        List<ServiceLoad> loads,
        List<CrashRecord> quarantined,
        List<DataCentreDrain> drainedDataCentres,
        long settingsPosition) {}
