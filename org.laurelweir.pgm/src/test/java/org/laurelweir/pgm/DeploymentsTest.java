package org.laurelweir.pgm;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.laurelweir.runtime.config.SettingsFile;

/** Checks that the settings files of the example deployments have no faults. */
class DeploymentsTest {
    private static final int MIN_FILES = 10;

    @Test
    void haveNoFault() throws IOException {
        Path folder = Path.of(System.getProperty("laurelweir.root"), "deployments");
        try (Stream<Path> files = Files.walk(folder)) {
            List<Path> found = files.filter(f -> f.toString().endsWith(".yaml")).toList();
            assertThat(found).hasSizeGreaterThanOrEqualTo(MIN_FILES);
            assertThat(found)
                    .flatExtracting(f -> SettingsFile.check(SettingsFiles.SPECS, f))
                    .isEmpty();
        }
    }
}
