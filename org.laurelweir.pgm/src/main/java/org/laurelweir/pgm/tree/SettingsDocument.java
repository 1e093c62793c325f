package org.laurelweir.pgm.tree;

import com.fasterxml.jackson.core.io.JsonStringEncoder;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.regex.MatchResult;
import java.util.regex.Pattern;
import org.laurelweir.errors.LaurelweirException;
import org.laurelweir.lib.ResultCode;
import org.laurelweir.pgm.Texts;
import org.laurelweir.runtime.config.TreeFile;

/**
 * Reads and writes settings nodes as a tree file. The version that was read stands in a YAML
 * comment after each path, so that programs which need no version can read the same file.
 */
public final class SettingsDocument {
    private static final Pattern VERSION_COMMENT =
            Pattern.compile("^(/\\S*):.*# version (\\d+)\\s*$", Pattern.MULTILINE);

    /** Texts that need no quotes in YAML, except for reserved words. */
    private static final Pattern PLAIN_SCALAR =
            Pattern.compile("[A-Za-z0-9/][A-Za-z0-9/ ,._*@+%-]*");

    private static final Pattern RESERVED_WORD =
            Pattern.compile("null|true|false|yes|no|on|off|y|n", Pattern.CASE_INSENSITIVE);

    private SettingsDocument() {}

    /**
     * Reads a tree file.
     *
     * @param file the file
     * @return its nodes in the order of the file
     * @throws LaurelweirException BAD_SETTINGS_FILE with every fault, one per line
     */
    public static List<DocumentNode> read(Path file) {
        Map<String, Map<String, String>> values = TreeFile.read(file);
        Map<String, Long> versions = versions(file);
        List<DocumentNode> nodes = new ArrayList<>();
        values.forEach(
                (path, v) ->
                        nodes.add(new DocumentNode(path, versions.get(path), new TreeMap<>(v))));
        return nodes;
    }

    private static Map<String, Long> versions(Path file) {
        Map<String, Long> versions = new HashMap<>();
        VERSION_COMMENT
                .matcher(text(file))
                .results()
                .forEach((MatchResult r) -> versions.put(r.group(1), Long.valueOf(r.group(2))));
        return versions;
    }

    private static String text(Path file) {
        try {
            return Files.readString(file);
        } catch (IOException e) {
            throw new LaurelweirException(
                    ResultCode.BAD_SETTINGS_FILE, String.format(Texts.FILE_UNREADABLE, file, e), e);
        }
    }

    /** Returns the text of a tree file with the given nodes. */
    public static String write(List<DocumentNode> nodes) {
        StringBuilder s = new StringBuilder();
        for (DocumentNode n : nodes) {
            s.append(n.path()).append(n.values().isEmpty() ? ": {}" : ":");
            s.append(" # version ").append(n.version()).append('\n');
            n.values().forEach((k, v) -> s.append("  " + k + ": " + scalar(v) + "\n"));
        }
        return s.toString();
    }

    private static String scalar(String text) {
        boolean plain =
                PLAIN_SCALAR.matcher(text).matches()
                        && !text.endsWith(" ")
                        && !RESERVED_WORD.matcher(text).matches();
        if (plain) {
            return text;
        }
        return '"' + new String(JsonStringEncoder.getInstance().quoteAsString(text)) + '"';
    }
}
