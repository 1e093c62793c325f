package org.laurelweir.pgm.tree;

import java.util.ArrayList;
import java.util.List;
import org.laurelweir.errors.LaurelweirException;
import org.laurelweir.lib.ResultCode;
import org.laurelweir.pgm.Table;
import org.laurelweir.pgm.Texts;
import org.laurelweir.settings.EffectiveValue;
import org.laurelweir.settings.NodePath;
import org.laurelweir.settings.SettingsContext;
import org.laurelweir.settings.SettingsNode;
import org.laurelweir.settings.SettingsTree;
import org.laurelweir.wire.v1.ReadSettingsReply;

/**
 * The effective values for the levels that a path names, with the node that each comes from.
 *
 * @param path the path
 * @param position the tree's position
 * @param values one for each key
 */
public record EffectiveView(String path, long position, List<Value> values) {
    private static final String DEPLOYMENT = "/";

    /**
     * The effective value of one key.
     *
     * @param from the path of the node that sets it, or {@link Texts#DEFAULT_ORIGIN}
     */
    public record Value(String key, String value, String from) {
        static Value of(EffectiveValue v) {
            String from = v.from() == null ? Texts.DEFAULT_ORIGIN : v.from().toString();
            return new Value(v.key(), v.text(), from);
        }
    }

    /**
     * Resolves a tree for the region, data centre, service and client account that a path names.
     *
     * @param reply the whole tree
     * @param path a node's path, whether the node exists or not; empty for the deployment
     * @throws LaurelweirException USAGE if the path is malformed
     */
    public static EffectiveView of(ReadSettingsReply reply, String path) {
        NodePath p = parse(path.isEmpty() ? DEPLOYMENT : path);
        SettingsContext context =
                new SettingsContext(p.region(), p.dataCentre(), p.service(), p.account(), null);
        List<Value> values = tree(reply).effective(context).all().stream().map(Value::of).toList();
        return new EffectiveView(p.toString(), reply.getPosition(), values);
    }

    private static NodePath parse(String path) {
        try {
            return NodePath.parse(path);
        } catch (IllegalArgumentException e) {
            throw new LaurelweirException(ResultCode.USAGE, e.getMessage(), e);
        }
    }

    private static SettingsTree tree(ReadSettingsReply reply) {
        List<SettingsNode> nodes = new ArrayList<>();
        reply.getNodesList()
                .forEach(
                        n ->
                                nodes.add(
                                        SettingsNode.of(
                                                NodePath.parse(n.getPath()),
                                                n.getVersion(),
                                                n.getValuesMap())));
        return SettingsTree.of(reply.getPosition(), nodes);
    }

    /** Returns the view as lines of a table with a row for each key. */
    public List<String> lines() {
        Table table = new Table(Texts.EFFECTIVE_COLUMNS);
        values.forEach(v -> table.add(v.key, v.value, v.from));
        return table.lines();
    }
}
