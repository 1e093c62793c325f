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
 * @param region the region of the instance
 * @param dataCentre the data centre of the instance
 * @param dataCentres the regions of all data centres of the deployment, by the data centre's name;
 *     if empty, a drain order may name any data centre
 * @param listen the address for routers, sidecars, operators and peers; with port 0 the operating
 *     system chooses the port, which is useful only for an instance without peers
 * @param portFile the file to write the port to
 * @param metricsListen the address that serves metrics, health and readiness
 * @param metricsPortFile the file to write the metrics port to
 * @param peers the addresses of all control instances by name; this instance may be omitted
 * @param seeds control instances through which the instances of a deployment with automatic joining
 *     find each other; if set, there are no peers, and this instance's name is its address
 * @param seedPort the port of all seeds, 0 to use the port of each seed's address
 * @param mayFound whether this is the first start of the whole deployment, in which instances with
 *     empty disks may bootstrap the log
 * @param dataFolder the folder of the log; an instance with seeds may omit it, and then never votes
 *     and receives the whole log again after each start
 * @param bootstrapSettings a tree file that is applied as the first change of an empty log
 * @param toleratedLosses the number of lost voters that the log is promised to survive; if set,
 *     control warns whenever it would survive fewer
 * @param electionTimeout time without a message from the leader after which a new leader is
 *     elected; the same on every instance
 * @param exchangeInterval the interval at which sidecars and routers are asked to exchange
 * @param vanishAfter time without an exchange after which a sidecar counts as departed
 * @param threads the number of event loops for connections
 * @param log the log settings
 */
@ProgramName("control")
public record ControlFile(
        @Required String name,
        @Required String region,
        @Required String dataCentre,
        Map<String, String> dataCentres,
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
        @Range(min = "0") Optional<Integer> toleratedLosses,
        @Default("1s") @Range(min = "200ms", max = "30s") Duration electionTimeout,
        @Default("1s") @Range(min = "100ms", max = "10s") Duration exchangeInterval,
        @Default("3s") @Range(min = "500ms", max = "1m") Duration vanishAfter,
        @Default("2") @Range(min = "1", max = "64") int threads,
        LogSettings log) {
    /** Returns whether control instances join automatically, which they do if there are seeds. */
    boolean isAutoJoin() {
        return !seeds.isEmpty();
    }

    /**
     * Returns the addresses of the other instances in the file, by name. A seed's name is its
     * address.
     */
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

    /**
     * Returns whether this instance may bootstrap the log. With automatic joining only a seed may.
     */
    boolean mayBootstrap() {
        return mayFound && (!isAutoJoin() || others().size() < seeds.size());
    }
}
