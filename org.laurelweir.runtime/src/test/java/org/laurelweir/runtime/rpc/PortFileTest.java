package org.laurelweir.runtime.rpc;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Tests the writing of a port file. */
class PortFileTest {
    @TempDir private Path mFolder;

    @Test
    void replacesThePortOfAnEarlierRun() throws IOException {
        Path file = mFolder.resolve("ports/control");
        PortFile.write(file, 4711);
        PortFile.write(file, 4712);
        assertThat(file).hasContent("4712\n");
        assertThat(Files.list(file.getParent())).containsExactly(file);
    }
}
