package org.laurelweir.direct;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.laurelweir.settings.NodePath;
import org.laurelweir.settings.SettingKeys;
import org.laurelweir.settings.SettingsNode;
import org.laurelweir.settings.SettingsTree;

/** Tests which deployments count as contended. */
class ContentionTest {
    private static final int SLOT_TOKENS = 2048;

    private static SettingsTree tree(int slots, int memoryTokens) {
        Map<String, String> values =
                Map.of(
                        SettingKeys.SERVICE_KIND.name(),
                        "routed",
                        SettingKeys.SERVICE_SLOTS.name(),
                        Integer.toString(slots),
                        SettingKeys.SERVICE_CACHE_TOKENS.name(),
                        Integer.toString(memoryTokens));
        return SettingsTree.of(
                1, List.of(new SettingsNode(NodePath.ofService("svc"), 1, values, false)));
    }

    @Test
    void enginesWithLittleMemoryForEachSlotMakeADeploymentContended() {
        RequestTerms terms = Contention.of(tree(128, 256_578), SLOT_TOKENS).terms(2, 80);
        assertThat(terms.contended()).isTrue();
        assertThat(terms.engine("svc")).isEqualTo(new EngineCapacity(128, 256_578));
        assertThat(terms.engine("other")).isEqualTo(EngineCapacity.NONE);
    }

    // Guards against a deployment whose requests are placed differently although its settings do
    // not ask for it.
    @Test
    void otherDeploymentsHaveNoTerms() {
        List<Contention> others =
                List.of(
                        Contention.of(tree(64, 172_156), SLOT_TOKENS),
                        Contention.of(tree(0, 1000), SLOT_TOKENS),
                        Contention.of(tree(128, 256_578), 0));
        assertThat(others).allMatch(c -> c.terms(2, 80) == RequestTerms.NONE);
    }

    // Guards against a deployment that counts as contended by the default of service.cache-tokens,
    // which is fewer than 2048 tokens for each of 512 slots.
    @Test
    void aServiceThatDoesNotNameItsMemoryMakesNoDeploymentContended() {
        Map<String, String> values =
                Map.of(
                        SettingKeys.SERVICE_KIND.name(),
                        "routed",
                        SettingKeys.SERVICE_SLOTS.name(),
                        "512");
        SettingsNode service = new SettingsNode(NodePath.ofService("svc"), 1, values, false);
        Contention contention = Contention.of(SettingsTree.of(1, List.of(service)), SLOT_TOKENS);
        assertThat(contention.isContended()).isFalse();
    }
}
