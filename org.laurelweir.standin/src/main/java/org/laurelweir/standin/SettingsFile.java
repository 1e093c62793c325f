package org.laurelweir.standin;

import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.dataformat.yaml.YAMLMapper;
import java.io.IOException;
import java.nio.file.Path;
import org.laurelweir.errors.LaurelweirException;
import org.laurelweir.lib.ResultCode;

/** Reads a stand-in's YAML settings into its record; a key that the record lacks is refused. */
public final class SettingsFile {
    private static final ObjectMapper MAPPER =
            YAMLMapper.builder().enable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES).build();

    private SettingsFile() {}

    /**
     * Reads a settings file.
     *
     * @throws LaurelweirException with {@code BAD_SETTINGS_FILE}; the message names file and line
     */
    public static <T> T read(Path file, Class<T> type) {
        try {
            return MAPPER.readValue(file.toFile(), type);
        } catch (IOException | IllegalArgumentException e) {
            throw new LaurelweirException(
                    ResultCode.BAD_SETTINGS_FILE, file + ": " + e.getMessage(), e);
        }
    }
}
