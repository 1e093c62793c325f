package org.laurelweir.runtime.process;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.laurelweir.junit.JavaProcess;
import org.laurelweir.lib.ResultCode;
import org.laurelweir.lib.Service;
import org.laurelweir.runtime.log.LogSettings;
import org.laurelweir.runtime.log.Logging;

/** How a process ends after a failure that nothing expects. */
class ProgramTest {
    @TempDir Path mFolder;

    /** A program whose start, or a thread of it, runs out of memory. */
    public static final class Greedy {
        /** Fails in the way that its argument names. */
        public static void main(String[] args) {
            Program.run("greedy", () -> new GreedyService(args[0]));
        }
    }

    private static final class GreedyService implements Service {
        private final String mWhere;

        GreedyService(String where) {
            mWhere = where;
        }

        @Override
        public void start() {
            new Logging(
                            new LogSettings(
                                    LogSettings.Format.JSON,
                                    LogSettings.Level.INFO,
                                    LogSettings.Console.STDOUT,
                                    Optional.empty()))
                    .start();
            if (mWhere.equals("main")) {
                take();
            }
            new Thread(GreedyService::take, "eater").start();
        }

        private static void take() {
            throw new OutOfMemoryError("Java heap space");
        }

        @Override
        public void stop() {}
    }

    // Engineers see: a process that ended with code 1, and no line of its log that says why. Order:
    // the heap is full while the program starts, on its main thread or on another one. Why: an
    // error is no exception and passed by those who log what they catch.
    @Test
    void anErrorLeavesALineAndACodeOfItsOwn() throws Exception {
        for (String where : List.of("main", "thread")) {
            Path log = mFolder.resolve(where + ".log");
            JavaProcess process =
                    new JavaProcess("greedy", log, Greedy.class.getName(), List.of(where));
            process.start();
            assertThat(process.awaitExit()).isEqualTo(Program.exitCode(ResultCode.OUT_OF_MEMORY));
            assertThat(lines(log))
                    .anyMatch(l -> l.startsWith("{") && l.contains("OutOfMemoryError"));
        }
    }

    private static List<String> lines(Path log) throws IOException {
        return Files.readAllLines(log);
    }
}
