package org.laurelweir.router;

import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.laurelweir.runtime.config.Default;
import org.laurelweir.runtime.config.Endpoint;
import org.laurelweir.runtime.config.ProgramName;
import org.laurelweir.runtime.config.Range;
import org.laurelweir.runtime.config.Required;
import org.laurelweir.runtime.log.LogSettings;
import org.laurelweir.settings.ByteSize;

/**
 * A router's own settings file. Settings that concern callers come from control's settings tree.
 *
 * @param name unique in the deployment
 * @param region the region that the router runs in
 * @param dataCentre the data centre that the router runs in
 * @param listen address for callers; with port 0 the operating system chooses a port
 * @param portFile file to which the router writes the port for callers
 * @param explainListen address for the command line's {@code explain}
 * @param metricsListen address of metrics, health and readiness
 * @param metricsPortFile file to which the router writes the port of {@code metricsListen}
 * @param controls addresses of control instances, the nearest first if the order is "given"
 * @param controlOrder order in which control instances are asked: "given" is the order of the list;
 *     "spread", for deployments that don't know the nearest one, starts with an instance on this
 *     machine and continues in an order that differs between routers
 * @param controlPort port of all control instances, or 0 for the port of each address in {@code
 *     controls}
 * @param exchangeInterval interval between exchanges with control
 * @param threads number of event loops for connections
 * @param chatSeats maximum number of chats whose last backend server the router remembers
 * @param decisions number of decisions kept for {@code explain}
 * @param seed for the jitter of retries; 0 derives the seed from the start time
 * @param controlTimeout maximum wait for a control instance's answer before the next instance is
 *     asked
 * @param leaveDelay how long a stopping router still serves while it reports that it is not ready,
 *     so that a load balancer can notice
 * @param stopTimeout maximum time for requests in flight to finish after {@code leaveDelay}
 * @param keyLease how long after the last confirmation of the settings routes serve requests that
 *     carry an API key; zero for no limit
 * @param denialLease how long after the last confirmation of the settings the router may answer
 *     that a key or route does not exist; after that it asks the caller to retry, because newer
 *     settings may contain the key or route; zero for no limit
 * @param retryShare retries that all routers together may send to a service that is reached by
 *     routes, as a share of the service's requests
 * @param retryReserve number of retries allowed in addition to that share, in each window
 * @param retryWindow time window of {@code retryShare} and {@code retryReserve}
 * @param maxDescriptors number of files and connections that the process may have open; part of it
 *     bounds the connections of callers; 0 if it is unknown
 * @param maxAnswer maximum size of an answer of a service that is reached by routes, unless it is a
 *     stream
 * @param maxEvent maximum size of an event of such a service's stream
 * @param answerMemory maximum of all incomplete answers and events that the router holds together,
 *     which should be a quarter of the heap or less
 * @param requestMemory maximum memory of all requests that the router holds together, heads and
 *     bodies; an eighth of it is for what is not begun, and a larger body than three quarters of it
 *     is refused
 * @param contendedSlotTokens a deployment with engines that have fewer tokens of memory for each
 *     slot counts as contended, and its requests are placed and ordered by the tokens that they
 *     hold; 0 for never
 * @param hedgeShare hedged requests that all routers together may send to a service of a contended
 *     deployment, as a share of the service's requests; 0 for none
 * @param log logging settings
 */
@ProgramName("router")
public record RouterFile(
        @Required String name,
        @Required String region,
        @Required String dataCentre,
        @Required Endpoint listen,
        Optional<Path> portFile,
        @Default("127.0.0.1:0") Endpoint explainListen,
        @Default("127.0.0.1:0") Endpoint metricsListen,
        Optional<Path> metricsPortFile,
        @Required List<Endpoint> controls,
        @Default("given") Order controlOrder,
        @Default("0") @Range(min = "0", max = "65535") int controlPort,
        @Default("1s") @Range(min = "100ms", max = "10s") Duration exchangeInterval,
        @Default("2") @Range(min = "1", max = "64") int threads,
        @Default("65536") @Range(min = "2", max = "16777216") int chatSeats,
        @Default("2048") @Range(min = "1", max = "1000000") int decisions,
        @Default("0") long seed,
        @Default("1s") @Range(min = "50ms", max = "10s") Duration controlTimeout,
        @Default("0s") @Range(min = "0s", max = "10m") Duration leaveDelay,
        @Default("10m") @Range(min = "0s", max = "1d") Duration stopTimeout,
        @Default("0s") @Range(min = "0s", max = "1d") Duration keyLease,
        @Default("0s") @Range(min = "0s", max = "1d") Duration denialLease,
        @Default("0.1") @Range(min = "0", max = "10") double retryShare,
        @Default("32") @Range(min = "0", max = "1000000") double retryReserve,
        @Default("10s") @Range(min = "100ms", max = "10m") Duration retryWindow,
        @Default("0") @Range(min = "0", max = "1048576") int maxDescriptors,
        @Default("8MiB") @Range(min = "64KiB", max = "1GiB") ByteSize maxAnswer,
        @Default("256KiB") @Range(min = "4KiB", max = "1GiB") ByteSize maxEvent,
        @Default("16MiB") @Range(min = "1MiB", max = "64GiB") ByteSize answerMemory,
        @Default("24MiB") @Range(min = "1MiB", max = "64GiB") ByteSize requestMemory,
        @Default("0") @Range(min = "0", max = "1000000") int contendedSlotTokens,
        @Default("0") @Range(min = "0", max = "1") double hedgeShare,
        LogSettings log) {
    /** The order in which control instances are asked. */
    public enum Order {
        /** The order of the list. */
        GIVEN,
        /** An order that spreads the routers over the control instances. */
        SPREAD
    }
}
