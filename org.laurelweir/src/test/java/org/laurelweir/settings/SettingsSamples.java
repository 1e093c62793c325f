package org.laurelweir.settings;

import java.time.Instant;
import java.util.List;
import java.util.Map;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import org.laurelweir.coordination.Command.ChangeSettings;
import org.laurelweir.coordination.Command.NodeChange;

/** Sample changes and jqwik arbitraries for the tests of the settings tree. */
final class SettingsSamples {
    private static final List<String> NAMES = List.of("a", "b");

    private SettingsSamples() {}

    static ChangeSettings change(String id, NodeChange... changes) {
        return new ChangeSettings(Instant.EPOCH, id, "tester", List.of(changes));
    }

    static NodeChange set(String path, long expected, String... keysAndValues) {
        Map<String, String> values = new java.util.HashMap<>();
        for (int i = 0; i < keysAndValues.length; i += 2) {
            values.put(keysAndValues[i], keysAndValues[i + 1]);
        }
        return new NodeChange(path, expected, values, List.of(), false);
    }

    static NodeChange delete(String path, long expected) {
        return new NodeChange(path, expected, Map.of(), List.of(), true);
    }

    static SettingsStore store() {
        return new SettingsStore(SettingsState.EMPTY, SettingsStore.Limits.DEFAULT);
    }

    /** Returns paths with few distinct names, so that many of them apply to one context. */
    static Arbitrary<NodePath> paths() {
        Arbitrary<String> name = Arbitraries.of(NAMES).injectNull(0.5);
        return Combinators.combine(name, name, name, name, name).as(NodePath::new);
    }

    static Arbitrary<SettingsContext> contexts() {
        Arbitrary<String> name = Arbitraries.of(NAMES).injectNull(0.2);
        Arbitrary<SettingsContext.Call> call =
                Arbitraries.of("GET", "POST")
                        .map(m -> new SettingsContext.Call(m, "/x", null))
                        .injectNull(0.2);
        return Combinators.combine(name, name, name, name, call).as(SettingsContext::new);
    }
}
