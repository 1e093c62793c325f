package org.laurelweir.runtime.config;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.dataformat.yaml.YAMLFactory;
import com.fasterxml.jackson.dataformat.yaml.YAMLParser;
import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Parses YAML text into nodes that keep their line numbers. A data binder would discard the line
 * numbers.
 */
final class YamlReader {
    private static final YAMLFactory FACTORY = new YAMLFactory();
    private static final String EXPECTED_DOCUMENT = "one mapping of keys to values";

    private final YAMLParser mParser;
    private final FaultList mFaults;

    private YamlReader(YAMLParser parser, FaultList faults) {
        mParser = parser;
        mFaults = faults;
    }

    /**
     * Parses a whole file.
     *
     * @param text the file's text
     * @param faults receives the faults of the text
     * @return the top-level mapping, or null if the text has none
     */
    static YamlNode.Mapping read(String text, FaultList faults) {
        try (YAMLParser p = FACTORY.createParser(text)) {
            return new YamlReader(p, faults).readTop();
        } catch (JsonProcessingException e) {
            int line = e.getLocation() == null ? 1 : e.getLocation().getLineNr();
            faults.add(line, "", firstLine(e.getOriginalMessage()), "well-formed YAML");
            return null;
        } catch (IOException e) {
            faults.add(1, "", e.toString(), "readable text");
            return null;
        }
    }

    private static String firstLine(String message) {
        return message.lines().findFirst().orElse("not YAML");
    }

    private YamlNode.Mapping readTop() throws IOException {
        if (mParser.nextToken() != JsonToken.START_OBJECT) {
            mFaults.add(1, "", "the file holds no mapping", EXPECTED_DOCUMENT);
            return null;
        }
        YamlNode.Mapping top = readMapping("");
        if (mParser.nextToken() != null) {
            mFaults.add(line(), "", "a second document follows", EXPECTED_DOCUMENT);
        }
        return top;
    }

    private YamlNode readNode(String path) throws IOException {
        return switch (mParser.currentToken()) {
            case START_OBJECT -> readMapping(path);
            case START_ARRAY -> readSequence(path);
            case VALUE_NULL -> new YamlNode.Scalar(line(), null);
            default -> readScalar(path);
        };
    }

    private YamlNode.Scalar readScalar(String path) throws IOException {
        if (mParser.isCurrentAlias()) {
            mFaults.add(line(), path, "an alias", "the value itself");
        }
        return new YamlNode.Scalar(line(), mParser.getText());
    }

    private YamlNode.Mapping readMapping(String path) throws IOException {
        int line = line();
        Map<String, YamlNode.Entry> entries = new LinkedHashMap<>();
        while (mParser.nextToken() == JsonToken.FIELD_NAME) {
            String key = mParser.currentName();
            int keyLine = line();
            mParser.nextToken();
            String keyPath = path.isEmpty() ? key : path + "." + key;
            YamlNode value = readNode(keyPath);
            YamlNode.Entry earlier = entries.putIfAbsent(key, new YamlNode.Entry(keyLine, value));
            if (earlier != null) {
                String problem = "already stands on line " + earlier.line();
                mFaults.add(keyLine, keyPath, problem, "each key once");
            }
        }
        return new YamlNode.Mapping(line, entries);
    }

    private YamlNode.Sequence readSequence(String path) throws IOException {
        int line = line();
        List<YamlNode> items = new ArrayList<>();
        while (mParser.nextToken() != JsonToken.END_ARRAY) {
            items.add(readNode(path + "[" + items.size() + "]"));
        }
        return new YamlNode.Sequence(line, items);
    }

    private int line() {
        return mParser.currentTokenLocation().getLineNr();
    }
}
