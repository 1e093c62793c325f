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

/** Tests the log and the exit code of a process that fails unexpectedly. */
class ProgramTest {
    @TempDir Path mFolder;

    /** A program that runs out of memory on its main thread or on another one. */
    public static final class FailingProgram {
        /**
         * Fails on the main thread if the argument is {@code main}, otherwise on another thread.
         */
        public static void main(String[] args) {
            Program.run("failing", () -> new FailingService(args[0]));
        }
    }

    private static final class FailingService implements Service {
        private final String mFailingThread;

        FailingService(String failingThread) {
            mFailingThread = failingThread;
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
            if (mFailingThread.equals("main")) {
                throwOutOfMemory();
            }
            new Thread(FailingService::throwOutOfMemory, "failing-thread").start();
        }

        private static void throwOutOfMemory() {
            throw new OutOfMemoryError("Java heap space");
        }

        @Override
        public void stop() {}
    }

    // Guards against a process that ends with code 1 and no log line about the cause. The heap is
    // full while the program starts, on its main thread or on another one. An Error is not an
    // Exception, so handlers that log caught exceptions miss it.
    @Test
    void outOfMemoryErrorIsLoggedAndSetsTheExitCode() throws Exception {
        for (String failingThread : List.of("main", "thread")) {
            Path log = mFolder.resolve(failingThread + ".log");
            JavaProcess process =
                    new JavaProcess(
                            "failing", log, FailingProgram.class.getName(), List.of(failingThread));
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
