package org.laurelweir.junit;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

/** Runs a program of the test's class path in a process of its own, and sends signals to it. */
public final class JavaProcess {
    private static final List<String> JAVA_COMMAND =
            List.of(
                    Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                    "-XX:-UsePerfData",
                    "-XX:+UseSerialGC",
                    "-XX:TieredStopAtLevel=1",
                    "-Xss512k",
                    "-Xmx96m",
                    "--add-opens",
                    "java.base/jdk.internal.misc=ALL-UNNAMED");
    private static final long EXIT_TIMEOUT_SECONDS = 90;

    private final String mName;
    private final Path mLog;
    private final List<String> mCommand;
    private Process mProcess;
    private boolean mDestroyed;

    /**
     * Creates a process without starting it.
     *
     * @param name the name that failure messages show
     * @param log the file that its output is appended to
     * @param main the class whose main method to run
     * @param args the program's arguments
     */
    public JavaProcess(String name, Path log, String main, List<String> args) {
        this(name, log, List.of(), main, args);
    }

    /**
     * Creates a process without starting it.
     *
     * @param name the name that failure messages show
     * @param log the file that its output is appended to
     * @param options options of the virtual machine, which override the defaults of this class
     * @param main the class whose main method to run
     * @param args the program's arguments
     */
    public JavaProcess(
            String name, Path log, List<String> options, String main, List<String> args) {
        mName = name;
        mLog = log;
        mCommand = new ArrayList<>(JAVA_COMMAND);
        mCommand.addAll(options);
        mCommand.addAll(List.of("-cp", classPath(), main));
        mCommand.addAll(args);
    }

    private static String classPath() {
        // Surefire may run with a jar whose manifest names the class path; its property lists the
        // entries.
        return System.getProperty(
                "surefire.test.class.path", System.getProperty("java.class.path"));
    }

    /** Starts the process, or starts it again after it has ended. */
    public void start() {
        mDestroyed = false;
        try {
            mProcess =
                    new ProcessBuilder(mCommand)
                            .redirectErrorStream(true)
                            .redirectOutput(ProcessBuilder.Redirect.appendTo(mLog.toFile()))
                            .start();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /**
     * Waits until the program has written its port to a file, and returns the port.
     *
     * @param file the file that the program writes once it listens
     */
    public int awaitPort(Path file) {
        Await.until("a port in " + file, () -> !isRunning() || !read(file).isEmpty());
        if (!isRunning()) {
            throw new AssertionError(mName + " has ended; its log is " + mLog);
        }
        return Integer.parseInt(read(file));
    }

    private static String read(Path file) {
        try {
            return Files.exists(file) ? Files.readString(file).strip() : "";
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Fails if the process was started and has ended other than by {@link #destroy}. */
    public void requireNotEnded() {
        if (mProcess != null && !mDestroyed && !isRunning()) {
            throw new AssertionError(
                    mName + " has ended with " + mProcess.exitValue() + ":\n" + read(mLog));
        }
    }

    /** Returns whether the process is running. */
    public boolean isRunning() {
        return mProcess != null && mProcess.isAlive();
    }

    /** Returns the most memory that the process has had resident, in bytes. */
    public long peakResidentBytes() {
        return read(procFolder().resolve("status"))
                .lines()
                .filter(l -> l.startsWith("VmHWM:"))
                .mapToLong(l -> Long.parseLong(l.replaceAll("[^0-9]", "")) << 10)
                .sum();
    }

    /** Returns the number of descriptors that the process has open. */
    public long openDescriptors() {
        try (Stream<Path> descriptors = Files.list(procFolder().resolve("fd"))) {
            return descriptors.count();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private Path procFolder() {
        return Path.of("/proc", Long.toString(mProcess.pid()));
    }

    /** Sends SIGKILL, which ends the process at once, and waits for its end. */
    public void kill() {
        mProcess.destroyForcibly();
        awaitExit();
    }

    /** Sends SIGTERM, after which the process shuts down by itself. Doesn't wait for its end. */
    public void terminate() {
        mProcess.destroy();
    }

    /** Sends SIGSTOP, which suspends the process and leaves its connections open. */
    public void freeze() {
        signal("-STOP");
    }

    /** Sends SIGCONT, which resumes a suspended process. */
    public void resume() {
        signal("-CONT");
    }

    /** Waits for the end of the process and returns its exit status. */
    public int awaitExit() {
        try {
            if (!mProcess.waitFor(EXIT_TIMEOUT_SECONDS, TimeUnit.SECONDS)) {
                throw new AssertionError(mName + " does not end");
            }
            return mProcess.exitValue();
        } catch (InterruptedException e) {
            throw new AssertionError(e);
        }
    }

    /** Kills the process if it was ever started, without waiting for its end. */
    public void destroy() {
        if (mProcess != null) {
            mDestroyed = true;
            mProcess.destroyForcibly();
        }
    }

    private void signal(String name) {
        try {
            String pid = Long.toString(mProcess.pid());
            Process kill = new ProcessBuilder("kill", name, pid).start();
            if (kill.waitFor() != 0) {
                throw new AssertionError("kill " + name + " " + mName);
            }
        } catch (IOException | InterruptedException e) {
            throw new AssertionError(e);
        }
    }
}
