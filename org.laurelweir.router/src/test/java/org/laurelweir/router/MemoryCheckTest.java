package org.laurelweir.router;

import static org.assertj.core.api.Assertions.assertThatCode;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.laurelweir.errors.LaurelweirException;
import org.laurelweir.runtime.config.SettingsFile;

/** Tests the check of a router's bounds against its heap. */
class MemoryCheckTest {
    @TempDir Path mFolder;

    private RouterFile file(String requestMemory) throws Exception {
        Path file = mFolder.resolve("router.yaml");
        String text =
                "program: router\nname: r\nregion: r\ndata-centre: z\nlisten: 127.0.0.1:0\n"
                        + "controls: [ '127.0.0.1:1' ]\nanswer-memory: 16MiB\nrequest-memory: "
                        + requestMemory
                        + "\n";
        Files.writeString(file, text);
        return SettingsFile.read(RouterFile.class, file);
    }

    /** Guards against bounds that let the heap overflow before they are reached. */
    @Test
    void boundsThatExceedTheHeapAreRefused() throws Exception {
        RouterFile file = file("41MiB");
        assertThatThrownBy(() -> MemoryCheck.check(file, 96L << 20))
                .isInstanceOf(LaurelweirException.class)
                .hasMessageContaining("request-memory");
    }

    @Test
    void boundsWithinTheHeapAreAccepted() throws Exception {
        RouterFile file = file("40MiB");
        assertThatCode(() -> MemoryCheck.check(file, 96L << 20)).doesNotThrowAnyException();
    }
}
