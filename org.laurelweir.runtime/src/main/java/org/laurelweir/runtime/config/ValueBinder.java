package org.laurelweir.runtime.config;

import java.lang.reflect.ParameterizedType;
import java.lang.reflect.RecordComponent;
import java.lang.reflect.Type;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Converts the value of a key to the type of its record component and checks it against the
 * component's annotations.
 */
final class ValueBinder {
    private final RecordBinder mRecords;
    private final FaultList mFaults;
    private final NameTable mNames;

    ValueBinder(RecordBinder records, FaultList faults, NameTable names) {
        mRecords = records;
        mFaults = faults;
        mNames = names;
    }

    /**
     * Binds one record component.
     *
     * @param component the component
     * @param parent the mapping that may contain the component's key
     * @param key the component's key
     * @param path path of the key in the file, for fault messages
     * @return the value; null or an empty list or Optional if the key is absent or faulty
     */
    Object bind(RecordComponent component, YamlNode.Mapping parent, String key, String path) {
        YamlNode.Entry entry = parent.entries().get(key);
        if (entry != null) {
            return bindNode(component, component.getGenericType(), entry.value(), path);
        }
        if (component.isAnnotationPresent(Required.class)) {
            String allowed = allowedFor(component, component.getGenericType());
            mFaults.add(parent.line(), path, "missing", allowed);
            return null;
        }
        Default defaultValue = component.getAnnotation(Default.class);
        if (defaultValue != null) {
            YamlNode defaultNode = new YamlNode.Scalar(parent.line(), defaultValue.value());
            return bindNode(component, component.getGenericType(), defaultNode, path);
        }
        return valueOfAbsentKey(component, parent, path);
    }

    private Object valueOfAbsentKey(
            RecordComponent component, YamlNode.Mapping parent, String path) {
        Class<?> type = component.getType();
        if (type == Optional.class) {
            return Optional.empty();
        }
        if (type == List.class) {
            return List.of();
        }
        if (type == Map.class) {
            return Map.of();
        }
        if (type.isRecord() && ScalarType.of(type).isEmpty()) {
            return mRecords.bind(type, new YamlNode.Mapping(parent.line(), Map.of()), path);
        }
        throw new IllegalArgumentException(component + " needs @Required, @Default or Optional");
    }

    private Object bindNode(RecordComponent component, Type type, YamlNode node, String path) {
        if (type instanceof ParameterizedType p) {
            return bindGeneric(component, p, node, path);
        }
        Class<?> raw = unboxed((Class<?>) type);
        Optional<ScalarType> scalar = ScalarType.of(raw);
        if (scalar.isPresent()) {
            return bindScalar(component, scalar.get(), node, path);
        }
        if (node instanceof YamlNode.Mapping m) {
            return mRecords.bind(raw, m, path);
        }
        mFaults.add(node.line(), path, "is " + node.description(), "a mapping of keys to values");
        return null;
    }

    private Object bindGeneric(
            RecordComponent component, ParameterizedType type, YamlNode node, String path) {
        Type[] arguments = type.getActualTypeArguments();
        if (type.getRawType() == Optional.class) {
            return Optional.ofNullable(bindNode(component, arguments[0], node, path));
        }
        if (type.getRawType() == Map.class) {
            return bindMap(component, arguments[1], node, path);
        }
        return bindList(component, arguments[0], node, path);
    }

    private Object bindList(RecordComponent component, Type element, YamlNode node, String path) {
        if (!(node instanceof YamlNode.Sequence sequence)) {
            mFaults.add(node.line(), path, "is " + node.description(), "a list");
            return List.of();
        }
        if (sequence.items().isEmpty() && component.isAnnotationPresent(Required.class)) {
            mFaults.add(node.line(), path, "is empty", "a list of at least one element");
        }
        List<Object> values = new ArrayList<>();
        for (YamlNode item : sequence.items()) {
            String itemPath = path + "[" + values.size() + "]";
            values.add(bindNode(component, element, item, itemPath));
        }
        return values.contains(null) ? List.of() : List.copyOf(values);
    }

    private Object bindMap(RecordComponent component, Type element, YamlNode node, String path) {
        if (!(node instanceof YamlNode.Mapping mapping)) {
            mFaults.add(
                    node.line(), path, "is " + node.description(), "a mapping of names to values");
            return Map.of();
        }
        Map<String, Object> values = new LinkedHashMap<>();
        mapping.entries()
                .forEach(
                        (k, e) ->
                                values.put(
                                        k,
                                        bindNode(component, element, e.value(), path + "." + k)));
        return values.containsValue(null) ? Map.of() : Map.copyOf(values);
    }

    private Object bindScalar(
            RecordComponent component, ScalarType type, YamlNode node, String path) {
        Object value = parse(type, node);
        if (value == null) {
            String allowed = Bounds.allowed(component, type);
            mFaults.add(node.line(), path, "is " + node.description(), allowed);
            return null;
        }
        if (!Bounds.accept(component, type, value)) {
            String problem = "is out of range: " + ((YamlNode.Scalar) node).text();
            mFaults.add(node.line(), path, problem, Bounds.allowed(component, type));
            return null;
        }
        registerName(component, value, node.line(), path);
        return value;
    }

    private static Object parse(ScalarType type, YamlNode node) {
        if (!(node instanceof YamlNode.Scalar scalar) || scalar.text() == null) {
            return null;
        }
        try {
            return type.parser().apply(scalar.text());
        } catch (IllegalArgumentException e) {
            return null;
        }
    }

    private void registerName(RecordComponent component, Object value, int line, String path) {
        Defines defines = component.getAnnotation(Defines.class);
        if (defines != null) {
            mNames.addDefinition(defines.value(), value.toString(), line, path, mFaults);
        }
        RefersTo refersTo = component.getAnnotation(RefersTo.class);
        if (refersTo != null) {
            mNames.addReference(refersTo.value(), value.toString(), line, path);
        }
    }

    private static String allowedFor(RecordComponent component, Type type) {
        if (type instanceof ParameterizedType p) {
            return p.getRawType() == List.class ? "a list" : "a mapping of names to values";
        }
        return ScalarType.of(unboxed((Class<?>) type))
                .map(s -> Bounds.allowed(component, s))
                .orElse("a mapping of keys to values");
    }

    private static Class<?> unboxed(Class<?> type) {
        return java.lang.invoke.MethodType.methodType(type).unwrap().returnType();
    }
}
