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
 * @param name the service's name, which is part of each answer
 * @param listen the address to listen on; with port 0 the operating system chooses a port
 * @param portFile the file to write the port to
 * @param workTime the time from a call to its answer
 * @param executions how runs are recorded
 * @param log the settings of the log
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
     * Returns the settings of a service on any port of the loopback address, with the file's
     * defaults otherwise.
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
