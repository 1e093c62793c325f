package org.laurelweir.coordination;

import java.util.Collection;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import org.laurelweir.settings.SettingKey;
import org.laurelweir.settings.SettingKeys;

/** Finds names in changes of settings that are no regions of the deployment. */
final class RegionCheck {
    private final Set<String> mRegions;

    /**
     * Creates a check.
     *
     * @param regions the deployment's regions; if empty, every name passes
     */
    RegionCheck(Collection<String> regions) {
        mRegions = Set.copyOf(regions);
    }

    /** Returns the unknown regions that a command names, sorted; mostly none. */
    Set<String> unknownRegions(Command command) {
        TreeSet<String> named = new TreeSet<>();
        if (mRegions.isEmpty()) {
            return named;
        }
        if (command instanceof Command.ReplaceSettings c) {
            c.nodes().values().forEach(values -> addRegions(values, named));
        } else if (command instanceof Command.ChangeSettings c) {
            c.changes().forEach(n -> addRegions(n.set(), named));
        }
        named.removeAll(mRegions);
        return named;
    }

    private static void addRegions(Map<String, String> values, Set<String> named) {
        addRegions(SettingKeys.ROUTE_ALLOWED_REGIONS, values, named);
        addRegions(SettingKeys.ACCOUNT_ALLOWED_REGIONS, values, named);
    }

    private static void addRegions(
            SettingKey<?> key, Map<String, String> values, Set<String> named) {
        String text = values.getOrDefault(key.name(), "");
        for (String region : text.split(",")) {
            if (!region.isBlank()) {
                named.add(region.strip());
            }
        }
    }
}
