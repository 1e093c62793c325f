package org.laurelweir.benchmarks.steps;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/** Entry point of bin/measure-steps. */
public final class Main {
    private static final int EXIT_USAGE = 2;

    private Main() {}

    /**
     * Measures the named parts, or all of them without arguments.
     *
     * @param args names of parts; the program exits with status 2 if one is unknown
     */
    public static void main(String[] args) {
        Map<String, Consumer<Report>> parts = parts();
        List<String> selected = args.length == 0 ? List.copyOf(parts.keySet()) : List.of(args);
        if (!parts.keySet().containsAll(selected)) {
            System.err.println(
                    "usage: measure-steps [" + String.join("|", parts.keySet()) + "]...");
            System.exit(EXIT_USAGE);
        }
        Report report = new Report(System.out);
        selected.forEach(p -> parts.get(p).accept(report));
    }

    private static Map<String, Consumer<Report>> parts() {
        Map<String, Consumer<Report>> parts = new LinkedHashMap<>();
        parts.put("messages", MessageSizes::report);
        parts.put("heap", Main::heap);
        parts.put("router", RouterSteps::report);
        parts.put("sidecar", SidecarSteps::report);
        parts.put("control", ControlSteps::report);
        parts.put("log", LogSteps::report);
        return parts;
    }

    private static void heap(Report report) {
        RouterSteps.reportHeap(report);
        SidecarSteps.reportHeap(report);
        ControlSteps.reportHeap(report);
        LogSteps.reportHeap(report);
    }
}
