package org.laurelweir.runtime.config;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import org.laurelweir.coordination.Command.NodeChange;
import org.laurelweir.errors.LaurelweirException;
import org.laurelweir.settings.NodeFault;
import org.laurelweir.settings.SettingKeys;
import org.laurelweir.settings.SettingsCheck;

/**
 * Reads nodes of the settings tree from a YAML file. Each top-level key is a node's path; its value
 * maps the node's keys to their values. A list may be written as a YAML list or as a text with
 * commas.
 */
public final class TreeFile {
    private static final String PREFIX_KEY = SettingKeys.ROUTE_PATH_PREFIX.name();

    private final FaultList mFaults;

    /** Line numbers: of a node by its path, of a value by path, a space and the value's key. */
    private final Map<String, Integer> mLines = new LinkedHashMap<>();

    private final Map<String, Map<String, String>> mNodes = new LinkedHashMap<>();

    private TreeFile(FaultList faults) {
        mFaults = faults;
    }

    /**
     * Reads a file. Does not check references to nodes outside the file; control checks those.
     *
     * @param path the file
     * @return the values of each node by the node's path, in the form that control accepts
     * @throws LaurelweirException BAD_SETTINGS_FILE with one line per fault
     */
    public static Map<String, Map<String, String>> read(Path path) {
        TreeFile file = new TreeFile(new FaultList(path.toString()));
        file.parse(SettingsFile.parse(path, file.mFaults));
        file.addFaults(SettingsCheck.nodeFaults(file.changes()));
        file.mFaults.throwIfAny();
        return file.mNodes;
    }

    /**
     * Checks a file that holds a whole tree.
     *
     * @param path the file
     * @return the faults in the order of the file, including unresolvable references
     */
    public static List<SettingsFault> check(Path path) {
        TreeFile file = new TreeFile(new FaultList(path.toString()));
        file.parse(SettingsFile.parse(path, file.mFaults));
        file.addFaults(SettingsCheck.treeFaults(file.changes()));
        return file.mFaults.inFileOrder();
    }

    /**
     * Returns the routes of a tree that take requests for a path.
     *
     * @param file a file without faults
     * @param path the path of a request
     * @return the routes in the order of the file
     */
    public static List<CoveringRoute> routesThatCover(Path file, String path) {
        TreeFile tree = new TreeFile(new FaultList(file.toString()));
        tree.parse(SettingsFile.parse(file, tree.mFaults));
        List<CoveringRoute> routes = new ArrayList<>();
        tree.mNodes.forEach(
                (node, values) -> {
                    String prefix = values.get(PREFIX_KEY);
                    if (prefix != null && path.startsWith(prefix)) {
                        int line = tree.mLines.get(node + " " + PREFIX_KEY);
                        routes.add(new CoveringRoute(line, node, prefix));
                    }
                });
        return routes;
    }

    /**
     * A route whose prefix fits a path.
     *
     * @param line the line of the prefix in the file
     * @param node the path of the route's node
     * @param prefix the prefix of the paths that it takes
     */
    public record CoveringRoute(int line, String node, String prefix) {}

    private void parse(YamlNode.Mapping top) {
        if (top == null) {
            return;
        }
        top.entries()
                .forEach(
                        (path, entry) -> {
                            mLines.put(path, entry.line());
                            mNodes.put(path, valuesOf(path, entry));
                        });
    }

    private Map<String, String> valuesOf(String path, YamlNode.Entry node) {
        Map<String, String> values = new LinkedHashMap<>();
        if (node.value() instanceof YamlNode.Mapping m) {
            m.entries().forEach((key, e) -> putValue(path, key, e, values));
        } else {
            mFaults.add(
                    node.line(), path, "is " + node.value().description(), "keys, or {} for none");
        }
        return values;
    }

    private void putValue(
            String path, String key, YamlNode.Entry entry, Map<String, String> values) {
        mLines.put(path + " " + key, entry.line());
        String text = textOf(entry.value());
        if (text == null) {
            String allowed = "a text, number or list of such";
            mFaults.add(
                    entry.line(), path + " " + key, "is " + entry.value().description(), allowed);
            return;
        }
        values.put(key, text);
    }

    private static String textOf(YamlNode node) {
        if (node instanceof YamlNode.Scalar scalar) {
            return scalar.text();
        }
        if (!(node instanceof YamlNode.Sequence sequence)) {
            return null;
        }
        List<String> items = new ArrayList<>();
        for (YamlNode item : sequence.items()) {
            boolean usable = item instanceof YamlNode.Scalar s && s.text() != null;
            if (!usable) {
                return null;
            }
            items.add(((YamlNode.Scalar) item).text());
        }
        return items.stream().collect(Collectors.joining(", "));
    }

    private List<NodeChange> changes() {
        List<NodeChange> changes = new ArrayList<>();
        mNodes.forEach(
                (path, values) -> changes.add(new NodeChange(path, 0, values, List.of(), false)));
        return changes;
    }

    private void addFaults(List<NodeFault> faults) {
        for (NodeFault f : faults) {
            String place = f.key().isEmpty() ? f.path() : f.path() + " " + f.key();
            int nodeLine = mLines.getOrDefault(f.path(), 1);
            mFaults.add(mLines.getOrDefault(place, nodeLine), place, f.problem(), f.allowed());
        }
    }
}
