package org.laurelweir.benchmarks.whole;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

/** Prints the resident memory of a Java process that does nothing else, as a baseline. */
public final class BareProcess {
    private static final String RESIDENT_SIZE_KEY = "VmRSS:";

    private BareProcess() {}

    /** Prints the process's resident set size in KiB, as read from /proc/self/status on Linux. */
    public static void main(String[] args) throws IOException {
        Files.readAllLines(Path.of("/proc/self/status")).stream()
                .filter(line -> line.startsWith(RESIDENT_SIZE_KEY))
                .map(line -> line.replaceAll("\\D", ""))
                .forEach(System.out::println);
    }
}
