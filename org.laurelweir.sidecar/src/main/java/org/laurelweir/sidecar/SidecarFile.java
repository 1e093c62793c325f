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
 * A sidecar's own settings file. The settings of its service come from control's settings tree.
 *
 * @param name the backend server's name, unique in the deployment
 * @param service the service that the backend server belongs to
 * @param region the region that the machine is in
 * @param dataCentre the data centre that the machine is in
 * @param listen the address for routers; with port 0 the operating system chooses the port
 * @param announce the address that routers receive, if it differs from {@code listen} because a
 *     forwarder stands in between
 * @param portFile the file to write the port for routers to
 * @param metricsListen the address that serves metrics, health and readiness
 * @param metricsPortFile the file to write the port of {@code metricsListen} to
 * @param backend the address that the backend server listens on
 * @param refusalStatuses the backend server's HTTP statuses that are documented to mean that it
 *     rejected a call before running it
 * @param ordersPath the backend server's HTTP path for orders
 * @param version the version of the backend server's software, for {@code status}
 * @param weight the backend server's capacity relative to the others of its service
 * @param controls the control instances' addresses, the nearest first
 * @param threads the number of event loop threads for connections
 * @param decisions the number of decisions to keep for {@code explain}
 * @param log the format, level and destination of the log
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
        Optional<String> version,
        @Default("1") @Range(min = "0.125", max = "1000") double weight,
        @Required List<Endpoint> controls,
        @Default("2") @Range(min = "1", max = "64") int threads,
        @Default("2048") @Range(min = "1", max = "1000000") int decisions,
        LogSettings log) {}
