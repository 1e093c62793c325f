package org.laurelweir.control;

import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
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
 * @param seeds control instances through which an open deployment finds the others; then there are
 *     no peers, and this instance's name is where it listens
 * @param seedPort the port on which seeds are reached, 0 for that of each seed's own address
 * @param mayFound whether this is the first start of the whole deployment, in which a core may be
 *     made of empty disks
 * @param dataFolder where the log is kept; an instance with seeds may do without one, and then
 *     never votes and learns all anew at each start
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
        List<Endpoint> seeds,
        @Default("0") @Range(min = "0", max = "65535") int seedPort,
        @Default("true") boolean mayFound,
        Optional<Path> dataFolder,
        Optional<Path> bootstrapSettings,
        @Default("1s") @Range(min = "200ms", max = "30s") Duration electionTimeout,
        @Default("1s") @Range(min = "100ms", max = "10s") Duration exchangeInterval,
        @Default("3s") @Range(min = "500ms", max = "1m") Duration vanishAfter,
        @Default("2") @Range(min = "1", max = "64") int threads,
        LogSettings log) {
    /** Returns whether control instances join by themselves. */
    boolean isOpen() {
        return !seeds.isEmpty();
    }

    /** Returns the other instances that the file names, by name. */
    Map<String, String> others() {
        Map<String, String> others = new TreeMap<>();
        peers.forEach((name, e) -> others.put(name, e.toString()));
        for (Endpoint seed : seeds) {
            String address = (seedPort == 0 ? seed : seed.withPort(seedPort)).toString();
            others.put(address, address);
        }
        others.remove(name);
        return others;
    }

    /** Returns whether this instance may make the first core: in an open deployment a seed must. */
    boolean isFounder() {
        return mayFound && (!isOpen() || others().size() < seeds.size());
    }
}
