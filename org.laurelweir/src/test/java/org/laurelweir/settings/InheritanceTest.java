package org.laurelweir.settings;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.junit.jupiter.api.Test;

/** Compares effective settings with a slow oracle that follows the rules of inheritance. */
class InheritanceTest {
    private static final SettingKey<Integer> KEY = SettingKeys.RETRY_MAX_ATTEMPTS;

    @Provide
    Arbitrary<SettingsTree> trees() {
        Arbitrary<SettingsNode> node =
                Combinators.combine(
                                SettingsSamples.paths(),
                                net.jqwik.api.Arbitraries.integers().between(1, 10).injectNull(0.2),
                                net.jqwik.api.Arbitraries.of("GET", "POST", "GET,POST"))
                        .as(InheritanceTest::node);
        return node.list()
                .ofMaxSize(60)
                .uniqueElements(SettingsNode::path)
                .map(nodes -> SettingsTree.of(1, nodes));
    }

    private static SettingsNode node(NodePath path, Integer value, String methods) {
        Map<String, String> values = new java.util.HashMap<>();
        if (value != null) {
            values.put(KEY.name(), value.toString());
        }
        if (path.rule() != null) {
            values.put("match.method", methods);
        }
        return SettingsNode.of(path, 1, values);
    }

    @Property(seed = "301", tries = 500)
    void mostSpecificApplicableNodeWins(
            @ForAll("trees") SettingsTree tree, @ForAll("contexts") SettingsContext context) {
        SettingsNode expected =
                tree.nodes().stream()
                        .filter(n -> applies(n, context) && n.values().containsKey(KEY.name()))
                        .min(InheritanceTest::compareSpecificFirst)
                        .orElse(null);

        EffectiveSettings effective = tree.effective(context);

        assertThat(effective.originOf(KEY)).isEqualTo(expected == null ? null : expected.path());
        assertThat(effective.get(KEY))
                .isEqualTo(expected == null ? KEY.defaultValue() : expected.value(KEY));
        assertThat(effective.all())
                .filteredOn(v -> v.key().equals(KEY.name()))
                .extracting(EffectiveValue::text)
                .containsExactly(effective.get(KEY).toString());
    }

    @Provide
    Arbitrary<SettingsContext> contexts() {
        return SettingsSamples.contexts();
    }

    private static boolean applies(SettingsNode n, SettingsContext c) {
        NodePath p = n.path();
        boolean levelsMatch =
                matches(p.region(), c.region())
                        && matches(p.dataCentre(), c.dataCentre())
                        && matches(p.service(), c.service())
                        && matches(p.account(), c.account());
        if (p.rule() == null || !levelsMatch) {
            return levelsMatch;
        }
        String methods = n.values().get("match.method");
        return c.call() != null && List.of(methods.split(",")).contains(c.call().method());
    }

    private static boolean matches(String inPath, String inContext) {
        return inPath == null || Objects.equals(inPath, inContext);
    }

    private static int compareSpecificFirst(SettingsNode a, SettingsNode b) {
        List<Level> specificFirst = new ArrayList<>(List.of(Level.values()));
        specificFirst.sort(Comparator.reverseOrder());
        for (Level l : specificFirst) {
            boolean inA = a.path().name(l) != null;
            boolean inB = b.path().name(l) != null;
            if (inA != inB) {
                return inA ? -1 : 1;
            }
        }
        return a.path().rule().compareTo(b.path().rule());
    }

    @Test
    void rejectsMalformedPaths() {
        String text = "/region=vestkyst/service=seilhjerne/account=broker-1/rule=night";
        assertThat(NodePath.parse(text)).hasToString(text);
        assertThat(NodePath.parse("/")).isEqualTo(NodePath.DEPLOYMENT);
        for (String malformed :
                List.of(
                        "",
                        "region=x",
                        "/region",
                        "/region=",
                        "/x=y",
                        "//",
                        "/service=a/region=b")) {
            org.assertj.core.api.Assertions.assertThatThrownBy(() -> NodePath.parse(malformed))
                    .as(malformed)
                    .isInstanceOf(IllegalArgumentException.class);
        }
    }

    @Test
    void decidesWhichCallsAreIdempotent() {
        SettingsNode service =
                SettingsNode.of(
                        NodePath.ofService("havnebok"),
                        1,
                        Map.of(
                                "service.idempotent-calls", "POST /berths/*, POST /orders/check",
                                "service.non-idempotent-calls", "* /berths/*/lock"));
        EffectiveSettings s =
                SettingsTree.of(1, List.of(service))
                        .effective(SettingsContext.of(null, null).with("havnebok", null));

        assertThat(s.isIdempotent("POST", "/berths/7/free")).isTrue();
        assertThat(s.isIdempotent("PUT", "/berths/7/lock")).isFalse();
        assertThat(s.isIdempotent("POST", "/orders")).isFalse();
        assertThat(s.isIdempotent("GET", "/orders")).isTrue();
    }
}
