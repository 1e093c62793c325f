package org.laurelweir.benchmarks.whole;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

/** A process that does nothing: what the virtual machine alone keeps resident. */
public final class BareProcess {
    private static final String RESIDENT = "VmRSS:";

    private BareProcess() {}

    /** Prints the process's resident size as Linux tells it, in KiB. */
    public static void main(String[] args) throws IOException {
        Files.readAllLines(Path.of("/proc/self/status")).stream()
                .filter(line -> line.startsWith(RESIDENT))
                .map(line -> line.replaceAll("\\D", ""))
                .forEach(System.out::println);
    }
}
