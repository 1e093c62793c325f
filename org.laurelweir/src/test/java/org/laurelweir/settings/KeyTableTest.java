package org.laurelweir.settings;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;

/** Compares the settings page for operators with the keys in the code. */
class KeyTableTest {
    @Test
    void settingsPageContainsKeyTable() throws IOException {
        Path page = Path.of(System.getProperty("laurelweir.root"), "docs", "SETTINGS.md");
        assertThat(Files.readString(page)).contains(KeyTable.markdown());
    }

    @Test
    void everyKeyAcceptsItsDefault() {
        for (SettingKey<?> key : SettingKeys.all()) {
            assertThat(key.parse(key.defaultText())).isEqualTo(key.defaultValue());
            assertThat(key.doc()).as(key.name()).endsWith(".");
        }
    }
}
