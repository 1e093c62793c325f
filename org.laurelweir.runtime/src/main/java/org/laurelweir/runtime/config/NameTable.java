package org.laurelweir.runtime.config;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Collects the names that a file defines and the references to them. References are resolved after
 * the whole file has been read.
 */
final class NameTable {
    private final Map<String, Map<String, Integer>> mLinesByKind = new HashMap<>();
    private final List<Reference> mReferences = new ArrayList<>();

    private record Reference(String kind, String name, int line, String key) {}

    void addDefinition(String kind, String name, int line, String key, FaultList faults) {
        Integer earlierLine =
                mLinesByKind.computeIfAbsent(kind, k -> new TreeMap<>()).putIfAbsent(name, line);
        if (earlierLine != null) {
            String problem = "the name \"" + name + "\" already stands on line " + earlierLine;
            faults.add(line, key, problem, "each name of a " + kind + " once");
        }
    }

    void addReference(String kind, String name, int line, String key) {
        mReferences.add(new Reference(kind, name, line, key));
    }

    void resolveReferences(FaultList faults) {
        for (Reference r : mReferences) {
            Map<String, Integer> names = mLinesByKind.getOrDefault(r.kind, Map.of());
            if (!names.containsKey(r.name)) {
                String problem = "no " + r.kind + " is named \"" + r.name + "\"";
                String known =
                        names.isEmpty() ? "none is defined" : String.join(", ", names.keySet());
                faults.add(r.line, r.key, problem, known);
            }
        }
    }
}
