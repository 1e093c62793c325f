package org.laurelweir.control;

import java.nio.file.Path;
import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import org.laurelweir.runtime.config.Default;
import org.laurelweir.runtime.config.Endpoint;
import org.laurelweir.runtime.config.ProgramName;
import org.laurelweir.runtime.config.Range;
import org.laurelweir.runtime.config.Required;
import org.laurelweir.runtime.log.LogSettings;

/**
 * A control instance's own settings file.
 *
 * @param name unique in the deployment
 * @param region where it stands
 * @param dataCentre where it stands
 * @param listen where routers, sidecars, operators and peers reach it; with port 0 the operating
 *     system chooses, which is of use to an instance without peers only
 * @param portFile where to write the port
 * @param metricsListen where metrics, health and readiness are served
 * @param metricsPortFile where to write their port
 * @param peers every control instance by name; this one may be left out
 * @param dataFolder where the log is kept
 * @param bootstrapSettings a tree file, applied as the first change of an empty log
 * @param electionTimeout silence after which a leader is given up; the same on every instance
 * @param exchangeInterval how often sidecars and routers are asked to exchange
 * @param vanishAfter silence after which a sidecar counts as gone
 * @param threads event loops for connections
 * @param log how to log
 */
@ProgramName("control")
public record ControlFile(
        @Required String name,
        @Required String region,
        @Required String dataCentre,
        @Required Endpoint listen,
        Optional<Path> portFile,
        @Default("127.0.0.1:0") Endpoint metricsListen,
        Optional<Path> metricsPortFile,
        Map<String, Endpoint> peers,
        @Required Path dataFolder,
        Optional<Path> bootstrapSettings,
        @Default("1s") @Range(min = "200ms", max = "30s") Duration electionTimeout,
        @Default("1s") @Range(min = "100ms", max = "10s") Duration exchangeInterval,
        @Default("3s") @Range(min = "500ms", max = "1m") Duration vanishAfter,
        @Default("2") @Range(min = "1", max = "64") int threads,
        LogSettings log) {}
