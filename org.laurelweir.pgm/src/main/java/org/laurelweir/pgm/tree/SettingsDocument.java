package org.laurelweir.pgm.tree;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.type.TypeReference;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.dataformat.yaml.YAMLGenerator;
import com.fasterxml.jackson.dataformat.yaml.YAMLMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.laurelweir.errors.LaurelweirException;
import org.laurelweir.lib.ResultCode;
import org.laurelweir.pgm.Texts;

/**
 * Settings nodes as a YAML file: the paths are the keys, and below each stand its values and, where
 * the file was made from a tree, the version that was seen.
 */
public final class SettingsDocument {
    private static final JsonInclude.Value NON_NULL =
            JsonInclude.Value.construct(JsonInclude.Include.NON_NULL, JsonInclude.Include.NON_NULL);
    private static final ObjectMapper MAPPER =
            YAMLMapper.builder()
                    .enable(YAMLGenerator.Feature.MINIMIZE_QUOTES)
                    .disable(YAMLGenerator.Feature.WRITE_DOC_START_MARKER)
                    .disable(YAMLGenerator.Feature.SPLIT_LINES)
                    .enable(JsonParser.Feature.STRICT_DUPLICATE_DETECTION)
                    .defaultPropertyInclusion(NON_NULL)
                    .build();

    /** The part of a file below a path. */
    private record Body(Long version, TreeMap<String, String> values) {}

    private SettingsDocument() {}

    /**
     * Reads a file.
     *
     * @param file the file
     * @return its nodes in order
     * @throws LaurelweirException BAD_SETTINGS_FILE with file, line and what is wrong
     */
    public static List<DocumentNode> read(Path file) {
        try {
            return parse(Files.readString(file));
        } catch (JsonProcessingException e) {
            int line = e.getLocation() == null ? 1 : e.getLocation().getLineNr();
            throw fault(String.format(Texts.FILE_FAULT, file, line, e.getOriginalMessage()), e);
        } catch (IOException e) {
            throw fault(String.format(Texts.FILE_UNREADABLE, file, e), e);
        }
    }

    private static List<DocumentNode> parse(String text) throws JsonProcessingException {
        List<DocumentNode> nodes = new ArrayList<>();
        if (text.lines().allMatch(l -> l.isBlank() || l.startsWith("#"))) {
            return nodes;
        }
        Map<String, Body> bodies =
                MAPPER.readValue(text, new TypeReference<LinkedHashMap<String, Body>>() {});
        bodies.forEach((path, body) -> nodes.add(node(path, body)));
        return nodes;
    }

    private static DocumentNode node(String path, Body body) {
        if (body == null || body.values() == null) {
            return new DocumentNode(path, body == null ? null : body.version(), new TreeMap<>());
        }
        return new DocumentNode(path, body.version(), body.values());
    }

    /** Returns the text of a file that holds the nodes. */
    public static String write(List<DocumentNode> nodes) {
        Map<String, Body> bodies = new LinkedHashMap<>();
        nodes.forEach(n -> bodies.put(n.path(), new Body(n.version(), new TreeMap<>(n.values()))));
        try {
            return MAPPER.writeValueAsString(bodies);
        } catch (JsonProcessingException e) {
            throw new LaurelweirException(ResultCode.INTERNAL, e.getMessage(), e);
        }
    }

    private static LaurelweirException fault(String message, Exception cause) {
        return new LaurelweirException(ResultCode.BAD_SETTINGS_FILE, message, cause);
    }
}
