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
 * @param name begins the ids of the requests
 * @param listen where callers reach it; with port 0 the operating system chooses
 * @param portFile where to write the port
 * @param models the models loaded at the start
 * @param adapters the adapters loaded at the start
 * @param role the role at the start
 * @param answerTokens the tokens of an answer, unless the call allows fewer
 * @param tick the time between two looks at the model
 * @param batch how fast the engine is and how much it holds
 * @param reports how late and how complete its reports are
 * @param orders how it carries out orders
 * @param executions how it records what it ran
 * @param log how to log
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
     * How late and how complete reports are.
     *
     * @param loadLag how old a load report is
     * @param cacheEventLag how late a cache event is published
     * @param cacheEventGapEvery each such cache event is lost; 0 for none
     */
    public record Reports(
            @Default("0s") @Range(max = "1h") Duration loadLag,
            @Default("0s") @Range(max = "1h") Duration cacheEventLag,
            @Default("0") @Range(min = "0") int cacheEventGapEvery) {}

    /**
     * How orders are carried out.
     *
     * @param checkFence whether an order with an old fencing number is refused
     * @param loadTime how long a model or adapter takes to load
     */
    public record Orders(
            @Default("true") boolean checkFence,
            @Default("0s") @Range(max = "1h") Duration loadTime) {}

    /** Returns a builder of the settings that a file with one model would give. */
    public static EngineSettingsBuilder builder() {
        return new EngineSettingsBuilder();
    }
}
