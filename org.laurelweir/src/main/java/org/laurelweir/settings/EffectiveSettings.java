package org.laurelweir.settings;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * The effective settings of one context. They are resolved once, so that a lookup is an array read.
 * Thread-safe, and immutable as seen from outside.
 *
 * <p>A node applies if the context matches each level that the node's path names; a rule applies
 * only if its conditions also match the call. For each key, the most specific node that sets it
 * wins. To compare two nodes, take the most specific level that only one of them names: the node
 * that names it is more specific. The levels from the most specific to the least are rule, client
 * account, service, data centre, region. If two rules name the same levels, the one whose name
 * sorts first wins.
 */
public final class EffectiveSettings {
    private final long mPosition;
    private final Object[] mValues;
    private final NodePath[] mOrigins;

    /** The applicable nodes except rules, the most specific first. */
    private final List<SettingsNode> mNodes;

    /** The rules that apply if they match the call, the most specific first. */
    private final List<Rule> mRules;

    /** The settings of calls, by the set of rules in {@link #mRules} that the call matches. */
    private final Map<BitSet, EffectiveSettings> mSettingsByMatchingRules =
            new ConcurrentHashMap<>();

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

    /** Returns the node that sets a key, or null if the default applies. */
    public NodePath originOf(SettingKey<?> key) {
        return mOrigins[key.index()];
    }

    /** Returns every key with its value and the node that sets it. */
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
        throw new IllegalStateException("node does not apply: " + path);
    }

    /**
     * Returns the settings for one call, including those of the rules that match it.
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
        return mSettingsByMatchingRules.computeIfAbsent(matching, this::withRules);
    }

    private EffectiveSettings withRules(BitSet matching) {
        List<SettingsNode> sources = new ArrayList<>();
        matching.stream().forEach(i -> sources.add(mRules.get(i).node()));
        sources.addAll(mNodes);
        return new EffectiveSettings(mPosition, sources, mNodes, mRules);
    }

    /**
     * Returns whether a call is idempotent, so that it may be retried. The patterns in
     * service.non-idempotent-calls take precedence over those in service.idempotent-calls, and
     * these over the method's definition in HTTP.
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
