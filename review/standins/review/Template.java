package review;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Fills in a settings template as DEPLOY.md describes: placeholders and sections. */
final class Template {
    private static final Pattern SECTION =
            Pattern.compile("\\{\\{([#^])([^}]+)\\}\\}(.*?)\\{\\{/\\2\\}\\}", Pattern.DOTALL);
    private static final Pattern PLACEHOLDER = Pattern.compile("\\{\\{([^}#^/]+)\\}\\}");

    private Template() {}

    static String render(String text, Map<String, Object> fields) {
        return render(text, fields, null, null);
    }

    private static String render(String text, Map<String, Object> fields, Object current, Object key) {
        StringBuilder out = new StringBuilder();
        int end = 0;
        Matcher m = SECTION.matcher(text);
        while (m.find(end)) {
            out.append(values(text.substring(end, m.start()), fields, current, key));
            Object value = find(m.group(2), fields, current, key);
            boolean present = value != null && !Boolean.FALSE.equals(value);
            if (m.group(1).equals("^")) {
                out.append(present ? "" : render(m.group(3), fields, current, key));
            } else if (value instanceof List<?> list) {
                for (int i = 0; i < list.size(); i++) {
                    out.append(render(m.group(3), fields, list.get(i), i));
                }
            } else if (value instanceof Map<?, ?> map) {
                for (Map.Entry<?, ?> e : map.entrySet()) {
                    out.append(render(m.group(3), fields, e.getValue(), e.getKey()));
                }
            } else if (present) {
                out.append(render(m.group(3), fields, value, null));
            }
            end = m.end();
        }
        return out.append(values(text.substring(end), fields, current, key)).toString();
    }

    private static String values(String text, Map<String, Object> fields, Object current, Object key) {
        return PLACEHOLDER
                .matcher(text)
                .replaceAll(
                        m ->
                                Matcher.quoteReplacement(
                                        textOf(find(m.group(1), fields, current, key))));
    }

    private static String textOf(Object value) {
        if (value instanceof List<?> list) {
            List<String> words = new ArrayList<>();
            list.forEach(v -> words.add(String.valueOf(v)));
            return String.join(",", words);
        }
        return value == null ? "" : value.toString();
    }

    private static Object find(String name, Map<String, Object> fields, Object current, Object key) {
        if (name.equals(".")) {
            return current;
        }
        if (name.equals("@")) {
            return key;
        }
        Object value = fields;
        for (String part : name.split("\\.")) {
            if (value instanceof Map<?, ?> map) {
                value = map.get(part);
            } else if (value instanceof List<?> list) {
                value = list.get(Integer.parseInt(part));
            } else {
                return null;
            }
        }
        return value;
    }
}
