package org.laurelweir.settings;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * The settings that hold for one context, resolved once so that looking one up costs an array read.
 * Immutable to its users; safe for use by several threads.
 *
 * <p>A node applies if the context agrees with each level that its path names, and a rule only if
 * its conditions match the call as well. For each key the most specific node that sets it wins. Of
 * two nodes, the one is more specific that names the most specific level which the other does not
 * name: a rule goes before any other node, then a client account before a service, a service before
 * a data centre, a data centre before a region. Of two rules that name the same levels, the one
 * whose name sorts first wins.
 */
public final class EffectiveSettings {
    private final long mPosition;
    private final Object[] mValues;
    private final NodePath[] mOrigins;

    /** The nodes other than rules that apply, the most specific first. */
    private final List<SettingsNode> mNodes;

    /** Every rule that may apply, depending on the call, the most specific first. */
    private final List<Rule> mRules;

    /** What holds for calls by which of the rules they match. */
    private final Map<BitSet, EffectiveSettings> mByMatch = new ConcurrentHashMap<>();

    private EffectiveSettings(
            long position, List<SettingsNode> sources, List<SettingsNode> nodes, List<Rule> rules) {
        mPosition = position;
        mNodes = nodes;
        mRules = rules;
        mValues = new Object[SettingKeys.count()];
        mOrigins = new NodePath[SettingKeys.count()];
        SettingKeys.all().forEach(k -> resolve(k, sources));
    }

    static EffectiveSettings of(SettingsTree tree, SettingsContext context) {
        List<SettingsNode> nodes = new ArrayList<>();
        List<Rule> rules = new ArrayList<>();
        for (NodePath path : ApplicablePaths.of(context)) {
            tree.node(path).ifPresent(nodes::add);
            for (NodePath rule : tree.rulesBelow(path)) {
                tree.node(rule).map(Rule::of).ifPresent(rules::add);
            }
        }
        EffectiveSettings settings =
                new EffectiveSettings(tree.position(), nodes, nodes, List.copyOf(rules));
        return context.call() == null ? settings : settings.forCall(context.call());
    }

    private <T> void resolve(SettingKey<T> key, List<SettingsNode> sources) {
        for (SettingsNode node : sources) {
            T value = node.value(key);
            if (value != null) {
                mValues[key.index()] = value;
                mOrigins[key.index()] = node.path();
                return;
            }
        }
        mValues[key.index()] = key.defaultValue();
    }

    /** Returns the position of the tree from which these settings were resolved. */
    public long position() {
        return mPosition;
    }

    /**
     * Returns the value of a key.
     *
     * @param key the key
     * @return the value of the most specific node that sets it, else the default
     */
    @SuppressWarnings("unchecked")
    public <T> T get(SettingKey<T> key) {
        return (T) mValues[key.index()];
    }

    /** Returns the node that sets a key, or null where the default holds. */
    public NodePath originOf(SettingKey<?> key) {
        return mOrigins[key.index()];
    }

    /** Returns every key with its value and where that comes from. */
    public List<EffectiveValue> all() {
        List<EffectiveValue> all = new ArrayList<>();
        for (SettingKey<?> key : SettingKeys.all()) {
            NodePath from = originOf(key);
            String text = from == null ? key.defaultText() : textIn(from, key);
            all.add(new EffectiveValue(key.name(), text, from));
        }
        return all;
    }

    private String textIn(NodePath path, SettingKey<?> key) {
        for (Rule rule : mRules) {
            if (rule.node().path().equals(path)) {
                return rule.node().values().get(key.name());
            }
        }
        for (SettingsNode node : mNodes) {
            if (node.path().equals(path)) {
                return node.values().get(key.name());
            }
        }
        throw new IllegalStateException("not a source: " + path);
    }

    /**
     * Returns the settings for one call, those of the rules that match it included.
     *
     * @param call the call
     */
    public EffectiveSettings forCall(SettingsContext.Call call) {
        BitSet matching = new BitSet();
        for (int i = 0; i < mRules.size(); i++) {
            matching.set(i, mRules.get(i).matches(call));
        }
        if (matching.isEmpty()) {
            return this;
        }
        return mByMatch.computeIfAbsent(matching, this::withRules);
    }

    private EffectiveSettings withRules(BitSet matching) {
        List<SettingsNode> sources = new ArrayList<>();
        matching.stream().forEach(i -> sources.add(mRules.get(i).node()));
        sources.addAll(mNodes);
        return new EffectiveSettings(mPosition, sources, mNodes, mRules);
    }

    /**
     * Returns whether a call may be repeated. A pattern in service.non-idempotent-calls decides
     * first, then one in service.idempotent-calls, then the method as HTTP defines it.
     *
     * @param method the HTTP method
     * @param path the URL's path
     */
    public boolean isIdempotent(String method, String path) {
        if (anyMatches(SettingKeys.SERVICE_NON_IDEMPOTENT_CALLS, method, path)) {
            return false;
        }
        if (anyMatches(SettingKeys.SERVICE_IDEMPOTENT_CALLS, method, path)) {
            return true;
        }
        return switch (method) {
            case "GET", "HEAD", "OPTIONS", "TRACE", "PUT", "DELETE" -> true;
            default -> false;
        };
    }

    private boolean anyMatches(SettingKey<List<CallPattern>> key, String method, String path) {
        return get(key).stream().anyMatch(p -> p.matches(method, path));
    }
}
