package org.laurelweir.sidecar;

import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import org.laurelweir.runtime.config.Default;
import org.laurelweir.runtime.config.Endpoint;
import org.laurelweir.runtime.config.ProgramName;
import org.laurelweir.runtime.config.Range;
import org.laurelweir.runtime.config.Required;
import org.laurelweir.runtime.log.LogSettings;

/**
 * A sidecar's own settings file. What holds for its service comes from control's settings tree.
 *
 * @param name the backend server's name, unique in the deployment
 * @param service the service that the backend server belongs to
 * @param region where it stands
 * @param dataCentre where it stands
 * @param listen where routers reach it; with port 0 the operating system chooses
 * @param announce where routers are told to reach it, if a forwarder stands in between
 * @param portFile where to write the port
 * @param metricsListen where metrics, health and readiness are served
 * @param metricsPortFile where to write their port
 * @param backend where the backend server listens
 * @param refusalStatuses the backend server's HTTP statuses that are documented to mean that a call
 *     was refused before it was run
 * @param ordersPath where the backend server takes orders
 * @param weight the backend server's capacity relative to the service's other ones
 * @param controls control instances, the nearest first
 * @param threads event loops for connections
 * @param decisions how many decisions it keeps for {@code explain}
 * @param log how to log
 */
@ProgramName("sidecar")
public record SidecarFile(
        @Required String name,
        @Required String service,
        @Required String region,
        @Required String dataCentre,
        @Required Endpoint listen,
        Optional<Endpoint> announce,
        Optional<Path> portFile,
        @Default("127.0.0.1:0") Endpoint metricsListen,
        Optional<Path> metricsPortFile,
        @Required Endpoint backend,
        @Range(min = "400", max = "599") List<Integer> refusalStatuses,
        @Default("/engine/orders") String ordersPath,
        @Default("1") @Range(min = "0.125", max = "1000") double weight,
        @Required List<Endpoint> controls,
        @Default("2") @Range(min = "1", max = "64") int threads,
        @Default("2048") @Range(min = "1", max = "1000000") int decisions,
        LogSettings log) {}
