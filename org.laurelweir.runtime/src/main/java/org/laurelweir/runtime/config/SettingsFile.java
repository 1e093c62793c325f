package org.laurelweir.runtime.config;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.laurelweir.errors.LaurelweirException;

/**
 * Reads a program's settings file.
 *
 * <p>The file's specification is a record class annotated with {@link ProgramName}. A component
 * named {@code dataCentre} is the key {@code data-centre}. Its type is a String, int, long, double,
 * boolean, enum, {@link java.time.Duration}, {@link org.laurelweir.settings.ByteSize}, {@link
 * Endpoint} or Path; a record of these; or a List, a Map with String keys, or an Optional of these.
 * A component is annotated with {@link Required} or {@link Default}, or is an Optional. An omitted
 * list or map is empty; an omitted record takes its own defaults. {@link Range}, {@link OneOf},
 * {@link Defines} and {@link RefersTo} restrict a value. A record's constructor may reject
 * inconsistent values by throwing IllegalArgumentException.
 */
public final class SettingsFile {
    private static final String PROGRAM_KEY = "program";

    private SettingsFile() {}

    /**
     * Reads a file.
     *
     * @param spec the record class that specifies the file
     * @param path the file
     * @return the settings
     * @throws LaurelweirException BAD_SETTINGS_FILE with one line per fault
     */
    public static <T extends Record> T read(Class<T> spec, Path path) {
        FaultList faults = new FaultList(path.toString());
        T settings = bind(spec, path, faults);
        faults.throwIfAny();
        return settings;
    }

    /**
     * Checks a file and returns its faults.
     *
     * @param spec the record class that specifies the file
     * @param path the file
     * @return the faults in the order of the file; empty if there are none
     */
    public static List<SettingsFault> check(Class<? extends Record> spec, Path path) {
        FaultList faults = new FaultList(path.toString());
        bind(spec, path, faults);
        return faults.inFileOrder();
    }

    /**
     * Checks a file against the specification of the program that its first key names. If the first
     * key is the path of a settings node, checks the file as a settings tree.
     *
     * @param specs the record classes that specify the programs' files
     * @param path the file
     * @return the faults in the order of the file; empty if there are none
     */
    public static List<SettingsFault> check(List<Class<? extends Record>> specs, Path path) {
        FaultList faults = new FaultList(path.toString());
        YamlNode.Mapping top = parse(path, faults);
        if (top == null) {
            return faults.inFileOrder();
        }
        if (isTree(top)) {
            return TreeFile.check(path);
        }
        Map<String, Class<? extends Record>> byProgram = new TreeMap<>();
        specs.forEach(s -> byProgram.put(programOf(s), s));
        Class<? extends Record> spec = byProgram.get(programInFirstKey(top).orElse(""));
        if (spec == null) {
            addProgramFault(top, String.join(", ", byProgram.keySet()), faults);
            return faults.inFileOrder();
        }
        return check(spec, path);
    }

    /** Returns whether a file holds a settings tree, and not the settings of a program. */
    public static boolean isTree(Path path) {
        YamlNode.Mapping top = parse(path, new FaultList(path.toString()));
        return top != null && isTree(top);
    }

    private static boolean isTree(YamlNode.Mapping top) {
        return top.entries().keySet().stream().findFirst().orElse("").startsWith("/");
    }

    private static <T extends Record> T bind(Class<T> spec, Path path, FaultList faults) {
        YamlNode.Mapping top = parse(path, faults);
        if (top == null) {
            return null;
        }
        String program = programOf(spec);
        if (!programInFirstKey(top).equals(Optional.of(program))) {
            addProgramFault(top, program, faults);
        }
        NameTable names = new NameTable();
        T settings = new RecordBinder(faults, names).bind(spec, top, "");
        names.resolveReferences(faults);
        return settings;
    }

    static YamlNode.Mapping parse(Path path, FaultList faults) {
        try {
            return YamlReader.read(Files.readString(path), faults);
        } catch (IOException e) {
            faults.add(1, "", "cannot be read: " + e, "a readable file of UTF-8 text");
            return null;
        }
    }

    private static String programOf(Class<? extends Record> spec) {
        ProgramName program = spec.getAnnotation(ProgramName.class);
        if (program == null) {
            throw new IllegalArgumentException(spec + " lacks @ProgramName");
        }
        return program.value();
    }

    private static Optional<String> programInFirstKey(YamlNode.Mapping top) {
        Iterator<Map.Entry<String, YamlNode.Entry>> entries = top.entries().entrySet().iterator();
        if (!entries.hasNext()) {
            return Optional.empty();
        }
        Map.Entry<String, YamlNode.Entry> first = entries.next();
        boolean isProgram = first.getKey().equals(PROGRAM_KEY);
        if (isProgram && first.getValue().value() instanceof YamlNode.Scalar s) {
            return Optional.ofNullable(s.text());
        }
        return Optional.empty();
    }

    private static void addProgramFault(YamlNode.Mapping top, String allowed, FaultList faults) {
        YamlNode.Entry entry = top.entries().get(PROGRAM_KEY);
        if (entry == null) {
            faults.add(top.line(), PROGRAM_KEY, "missing as the first key", allowed);
            return;
        }
        String problem = "is " + entry.value().description() + " or not the first key";
        faults.add(entry.line(), PROGRAM_KEY, problem, allowed);
    }
}
