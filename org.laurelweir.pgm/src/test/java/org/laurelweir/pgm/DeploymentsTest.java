package org.laurelweir.pgm;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.laurelweir.runtime.config.SettingsFile;

/** The example deployments against the programs that read them. */
class DeploymentsTest {
    private static final int FILES = 10;

    @Test
    void haveNoFault() throws IOException {
        Path folder = Path.of(System.getProperty("laurelweir.root"), "deployments");
        try (Stream<Path> files = Files.walk(folder)) {
            List<Path> found = files.filter(f -> f.toString().endsWith(".yaml")).toList();
            assertThat(found).hasSizeGreaterThanOrEqualTo(FILES);
            assertThat(found)
                    .flatExtracting(f -> SettingsFile.check(SettingsFiles.SPECS, f))
                    .isEmpty();
        }
    }
}
