package org.laurelweir.standin;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.laurelweir.runtime.config.SettingsFault;
import org.laurelweir.runtime.config.SettingsFile;
import org.laurelweir.standin.engine.EngineSettings;
import org.laurelweir.standin.plain.PlainSettings;

/** Checks how the stand-ins' settings files are read. */
class StandinSettingsTest {
    @TempDir private Path mFolder;

    @Test
    void missingKeysTakeBuilderDefaults() throws IOException {
        Path engine = write("program: engine\nmodels: [standin]\n");
        assertThat(SettingsFile.read(EngineSettings.class, engine))
                .isEqualTo(EngineSettings.builder().build());

        Path plain = write("program: plain\nname: bookings\n");
        assertThat(SettingsFile.read(PlainSettings.class, plain))
                .isEqualTo(PlainSettings.named("bookings"));
    }

    @Test
    void nestedKeysAreRead() throws IOException {
        Path file =
                write(
                        "program: engine\nmodels: [seil]\nport-file: ports/engine\n"
                                + "reports: {load-lag: 300ms, cache-event-gap-every: 3}\n"
                                + "orders: {check-fence: false, load-time: 2s}\n"
                                + "batch: {batch-knee: 100}\n");
        EngineSettings s = SettingsFile.read(EngineSettings.class, file);

        assertThat(s.portFile()).contains(Path.of("ports/engine"));
        assertThat(s.reports())
                .isEqualTo(new EngineSettings.Reports(Duration.ofMillis(300), Duration.ZERO, 3));
        assertThat(s.orders()).isEqualTo(new EngineSettings.Orders(false, Duration.ofSeconds(2)));
        assertThat(s.batch().batchKnee()).isEqualTo(100);
    }

    @Test
    void everyFaultIsReportedWithItsLine() throws IOException {
        Path file =
                write("program: engine\nanswerTokens: 5\nbatch: {max-running: 0}\ntick: soon\n");
        List<SettingsFault> faults = SettingsFile.check(EngineSettings.class, file);

        assertThat(faults)
                .extracting(f -> f.line() + " " + f.key())
                .containsExactlyInAnyOrder(
                        "1 models", "2 answerTokens", "3 batch.max-running", "4 tick");
    }

    private Path write(String text) throws IOException {
        return Files.writeString(mFolder.resolve("settings.yaml"), text);
    }
}
