package org.laurelweir.runtime.config;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.laurelweir.errors.LaurelweirException;

/** Tests reading settings nodes from YAML, and the lines of their faults. */
class TreeFileTest {
    @TempDir Path mFolder;

    private Path file(String text) throws IOException {
        return Files.writeString(mFolder.resolve("tree.yaml"), text);
    }

    @Test
    void readsNodesWithListsInBothForms() throws IOException {
        Path file =
                file(
                        """
                        /:
                          bound.factor: 1.5
                        /service=seilhjerne:
                          service.models: [skipper-7b, broker-70b]
                        /account=broker-1: {}
                        """);
        assertThat(TreeFile.read(file))
                .isEqualTo(
                        Map.of(
                                "/",
                                Map.of("bound.factor", "1.5"),
                                "/service=seilhjerne",
                                Map.of("service.models", "skipper-7b, broker-70b"),
                                "/account=broker-1",
                                Map.of()));
        assertThat(SettingsFile.check(List.of(), file)).isEmpty();
    }

    @Test
    void reportsAllFaultsWithTheirLines() throws IOException {
        Path file =
                file(
                        """
                        /:
                          bound.factor: 1
                          queue.max-ages: 2s
                        /service=a:
                          service.models: m
                          queue.max-age: {}
                        /service=b:
                          service.models: m
                        /region=x/service=c:
                          bound.factor: 2
                        /account=x: 7
                        """);
        assertThat(TreeFile.check(file))
                .extracting(f -> f.line() + " " + f.key() + ": " + f.problem())
                .containsExactly(
                        "2 / bound.factor: is \"1\"",
                        "3 / queue.max-ages: unknown key",
                        "6 /service=a queue.max-age: is a mapping",
                        "7 /service=b: model m belongs to /service=a",
                        "9 /region=x/service=c: needs /service=c",
                        "11 /account=x: is \"7\"");
        assertThatThrownBy(() -> TreeFile.read(file))
                .isInstanceOf(LaurelweirException.class)
                .hasMessageContaining("tree.yaml:2: / bound.factor: is \"1\"; allowed: a number")
                .hasMessageNotContaining("belongs to");
    }
}
