package org.laurelweir.control;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.laurelweir.errors.LaurelweirException;
import org.laurelweir.runtime.config.SettingsFile;

/** Tests the settings file of a control instance. */
class ControlFileTest {
    private static final String REQUIRED_KEYS =
            """
            program: control
            name: c1
            region: vestkyst
            data-centre: bergen
            listen: 127.0.0.1:7100
            """;

    @TempDir private Path mFolder;

    private ControlFile read(String keys) throws IOException {
        Path file = mFolder.resolve("control.yaml");
        Files.writeString(file, REQUIRED_KEYS + keys);
        return SettingsFile.read(ControlFile.class, file);
    }

    @Test
    void toleratedLossesAreOptional() throws IOException {
        assertThat(read("").toleratedLosses()).isEmpty();
        assertThat(read("tolerated-losses: 0\n").toleratedLosses()).contains(0);
        assertThat(read("tolerated-losses: 2\n").toleratedLosses()).contains(2);
    }

    @Test
    void toleratedLossesAreANumberThatIsNotNegative() {
        for (String value : new String[] {"-1", "one", "1.5"}) {
            assertThatThrownBy(() -> read("tolerated-losses: " + value + "\n"))
                    .isInstanceOf(LaurelweirException.class)
                    .hasMessageContaining("tolerated-losses");
        }
    }
}
