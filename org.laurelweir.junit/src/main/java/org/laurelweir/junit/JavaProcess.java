package org.laurelweir.junit;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** A program of the test's class path as a process of its own, and the signals it gets. */
public final class JavaProcess {
    private static final List<String> JAVA =
            List.of(
                    Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                    "-XX:-UsePerfData",
                    "-XX:+UseSerialGC",
                    "-XX:TieredStopAtLevel=1",
                    "-Xss512k",
                    "-Xmx96m",
                    "--add-opens",
                    "java.base/jdk.internal.misc=ALL-UNNAMED");
    private static final long EXIT_SECONDS = 90;

    private final String mName;
    private final Path mLog;
    private final List<String> mCommand;
    private Process mProcess;

    /**
     * Creates a process that has not started.
     *
     * @param name for failures
     * @param log takes what it prints
     * @param main the class to run
     * @param args its arguments
     */
    public JavaProcess(String name, Path log, String main, List<String> args) {
        this(name, log, List.of(), main, args);
    }

    /**
     * Creates a process that has not started.
     *
     * @param name for failures
     * @param log takes what it prints
     * @param options of the virtual machine, in place of the usual ones where both are given
     * @param main the class to run
     * @param args its arguments
     */
    public JavaProcess(
            String name, Path log, List<String> options, String main, List<String> args) {
        mName = name;
        mLog = log;
        mCommand = new ArrayList<>(JAVA);
        mCommand.addAll(options);
        mCommand.addAll(List.of("-cp", classPath(), main));
        mCommand.addAll(args);
    }

    private static String classPath() {
        // Surefire's own class path is a jar that names the entries; the property lists them.
        return System.getProperty(
                "surefire.test.class.path", System.getProperty("java.class.path"));
    }

    /** Starts the process, the first time or again. */
    public void start() {
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
     * Waits for a port that the program writes to a file.
     *
     * @param file written by the program once it listens
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

    /** Returns whether the process is there. */
    public boolean isRunning() {
        return mProcess != null && mProcess.isAlive();
    }

    /** SIGKILL: the process ends at once, in the middle of whatever it does. */
    public void kill() {
        mProcess.destroyForcibly();
        awaitExit();
    }

    /** SIGTERM: the process ends in its own time. */
    public void terminate() {
        mProcess.destroy();
    }

    /** SIGSTOP: the process stands still with its connections open. */
    public void freeze() {
        signal("-STOP");
    }

    /** SIGCONT: the process goes on. */
    public void resume() {
        signal("-CONT");
    }

    /** Waits for the end of the process and returns its exit status. */
    public int awaitExit() {
        try {
            if (!mProcess.waitFor(EXIT_SECONDS, TimeUnit.SECONDS)) {
                throw new AssertionError(mName + " does not end");
            }
            return mProcess.exitValue();
        } catch (InterruptedException e) {
            throw new AssertionError(e);
        }
    }

    /** Ends the process if it was ever started, without waiting. */
    public void destroy() {
        if (mProcess != null) {
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
