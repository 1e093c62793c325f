package org.laurelweir.standin.plain;

import java.nio.file.Path;
import java.time.Duration;
import java.util.Optional;
import org.laurelweir.runtime.config.Default;
import org.laurelweir.runtime.config.Endpoint;
import org.laurelweir.runtime.config.ProgramName;
import org.laurelweir.runtime.config.Range;
import org.laurelweir.runtime.log.LogSettings;
import org.laurelweir.standin.ExecutionSettings;
import org.laurelweir.standin.StandinSettings;

/**
 * The settings file of a plain service.
 *
 * @param name the service's name, which each answer gives
 * @param listen where callers reach it; with port 0 the operating system chooses
 * @param portFile where to write the port
 * @param workTime the time from a call to its answer
 * @param executions how it records what it ran
 * @param log how to log
 */
@ProgramName("plain")
public record PlainSettings(
        @Default("plain") String name,
        @Default("127.0.0.1:0") Endpoint listen,
        Optional<Path> portFile,
        @Default("0s") @Range(max = "1h") Duration workTime,
        ExecutionSettings executions,
        LogSettings log)
        implements StandinSettings {

    /**
     * Returns the settings of a service on any port of the loopback address, otherwise defaults.
     */
    public static PlainSettings named(String name) {
        return new PlainSettings(
                name,
                new Endpoint("127.0.0.1", 0),
                Optional.empty(),
                Duration.ZERO,
                ExecutionSettings.DEFAULT,
                LogSettings.defaults());
    }
}
