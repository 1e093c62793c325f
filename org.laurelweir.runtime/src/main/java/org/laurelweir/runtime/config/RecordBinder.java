package org.laurelweir.runtime.config;

import java.lang.reflect.Constructor;
import java.lang.reflect.InvocationTargetException;
import java.lang.reflect.RecordComponent;
import java.util.Arrays;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;
import java.util.TreeSet;

/**
 * Binds a YAML mapping to a record. Each component takes the value of the key with the same name in
 * kebab case.
 */
final class RecordBinder {
    private static final String PROGRAM_KEY = "program";

    private final FaultList mFaults;
    private final ValueBinder mValues;

    RecordBinder(FaultList faults, NameTable names) {
        mFaults = faults;
        mValues = new ValueBinder(this, faults, names);
    }

    /**
     * Binds one record.
     *
     * @param type the record's class
     * @param mapping the keys and values of the file
     * @param path path of the mapping in the file, for fault messages
     * @return the record, or null if its values have faults
     */
    <T> T bind(Class<T> type, YamlNode.Mapping mapping, String path) {
        int faultsBefore = mFaults.size();
        Map<String, RecordComponent> components = componentsOf(type);
        checkUnknownKeys(type, mapping, path, components);
        Map<String, Object> values = new HashMap<>();
        components.forEach(
                (key, c) -> values.put(key, mValues.bind(c, mapping, key, join(path, key))));
        if (mFaults.size() > faultsBefore) {
            return null;
        }
        return construct(type, components, values, mapping, path);
    }

    private static Map<String, RecordComponent> componentsOf(Class<?> type) {
        Map<String, RecordComponent> components = new LinkedHashMap<>();
        for (RecordComponent c : type.getRecordComponents()) {
            components.put(keyOf(c.getName()), c);
        }
        return components;
    }

    private static String keyOf(String name) {
        return name.replaceAll("([A-Z])", "-$1").toLowerCase(Locale.ROOT);
    }

    private void checkUnknownKeys(
            Class<?> type,
            YamlNode.Mapping mapping,
            String path,
            Map<String, RecordComponent> components) {
        boolean namesProgram = type.isAnnotationPresent(ProgramName.class);
        mapping.entries()
                .forEach(
                        (key, entry) -> {
                            boolean known = components.containsKey(key);
                            if (!known && !(namesProgram && key.equals(PROGRAM_KEY))) {
                                String allowed =
                                        String.join(", ", new TreeSet<>(components.keySet()));
                                mFaults.add(entry.line(), join(path, key), "unknown key", allowed);
                            }
                        });
    }

    private <T> T construct(
            Class<T> type,
            Map<String, RecordComponent> components,
            Map<String, Object> values,
            YamlNode.Mapping mapping,
            String path) {
        Class<?>[] types =
                Arrays.stream(type.getRecordComponents())
                        .map(RecordComponent::getType)
                        .toArray(Class<?>[]::new);
        Object[] arguments = components.keySet().stream().map(values::get).toArray();
        try {
            Constructor<T> constructor = type.getDeclaredConstructor(types);
            constructor.setAccessible(true);
            return constructor.newInstance(arguments);
        } catch (InvocationTargetException e) {
            String problem = String.valueOf(e.getCause().getMessage());
            mFaults.add(mapping.line(), path, problem, "values that agree with each other");
            return null;
        } catch (ReflectiveOperationException e) {
            throw new IllegalArgumentException("cannot build " + type, e);
        }
    }

    private static String join(String path, String key) {
        return path.isEmpty() ? key : path + "." + key;
    }
}
