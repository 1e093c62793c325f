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

/**
 * A router's own settings file. What holds for callers comes from control's settings tree.
 *
 * @param name unique in the deployment
 * @param region where it stands
 * @param dataCentre where it stands
 * @param listen where callers reach it; with port 0 the operating system chooses
 * @param portFile where to write the callers' port
 * @param explainListen where the command line reaches it
 * @param metricsListen where metrics, health and readiness are served
 * @param metricsPortFile where to write their port
 * @param controls control instances, the nearest first where the order is "given"
 * @param controlOrder "given", or "spread" where the nearest is not known: one on this machine
 *     first, the others in an order that differs between routers
 * @param controlPort the port on which they are reached, 0 for that of each one's own address
 * @param exchangeInterval how often control is asked
 * @param threads event loops for connections
 * @param chatSeats how many chats it remembers the last backend server of
 * @param decisions how many decisions it keeps for {@code explain}
 * @param seed of the jitter of retries; 0 takes one from the start's time
 * @param controlTimeout longest wait for one control instance's answer before the next is asked
 * @param leaveDelay how long it goes on serving, called not ready, once it is told to stop: the
 *     time in which a balancer notices
 * @param stopTimeout how long requests in flight may take after that
 * @param keyLease how long after settings were last confirmed requests with keys are served by
 *     routes; zero for ever
 * @param denialLease how long after settings were last confirmed a caller may be told that a key or
 *     route does not exist; later it is asked to come back, as the settings may be about to name
 *     it; zero for ever
 * @param retryShare what all routers together may repeat at a service reached by routes, as a share
 *     of its requests
 * @param retryReserve what they may repeat beyond that in a window
 * @param retryWindow the window of both
 * @param log how to log
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
        LogSettings log) {
    /** In which order control instances are asked. */
    public enum Order {
        /** As they are listed. */
        GIVEN,
        /** Spread over all routers. */
        SPREAD
    }
}
