package org.laurelweir.standin.engine;

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
import org.laurelweir.standin.ExecutionSettings;
import org.laurelweir.standin.StandinSettings;

/**
 * The settings file of an engine.
 *
 * @param name the prefix of the ids of requests
 * @param listen the address to listen on; with port 0 the operating system chooses a port
 * @param portFile the file to write the port to
 * @param models the models loaded at the start
 * @param adapters the adapters loaded at the start
 * @param role the role at the start
 * @param answerTokens the tokens of an answer, unless the call allows fewer
 * @param tick the interval at which the model is advanced
 * @param batch the speed and the limits of the engine
 * @param reports the delay and the gaps of its reports
 * @param orders how orders are applied
 * @param executions how runs are recorded
 * @param log the settings of the log
 */
@ProgramName("engine")
public record EngineSettings(
        @Default("engine") String name,
        @Default("127.0.0.1:0") Endpoint listen,
        Optional<Path> portFile,
        @Required List<String> models,
        List<String> adapters,
        @Default("mixed") String role,
        @Default("64") @Range(min = "1") int answerTokens,
        @Default("5ms") @Range(min = "1ms", max = "1s") Duration tick,
        BatchSettings batch,
        Reports reports,
        Orders orders,
        ExecutionSettings executions,
        LogSettings log)
        implements StandinSettings {

    /**
     * The delay and the gaps of reports.
     *
     * @param loadLag the age of the load report that a read returns
     * @param cacheEventLag the delay before a cache event is published
     * @param cacheEventGapEvery a cache event whose sequence number is a multiple of this is
     *     dropped; 0 for none
     */
    public record Reports(
            @Default("0s") @Range(max = "1h") Duration loadLag,
            @Default("0s") @Range(max = "1h") Duration cacheEventLag,
            @Default("0") @Range(min = "0") int cacheEventGapEvery) {}

    /**
     * How orders are applied.
     *
     * @param checkFence whether an order with a stale fencing token is rejected
     * @param loadTime the time that a model or adapter takes to load
     */
    public record Orders(
            @Default("true") boolean checkFence,
            @Default("0s") @Range(max = "1h") Duration loadTime) {}

    /** Returns a builder with one model and the defaults of the settings file. */
    public static EngineSettingsBuilder builder() {
        return new EngineSettingsBuilder();
    }
}
