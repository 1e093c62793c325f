package org.laurelweir.packaging.fleet;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** One program as a process: its settings file, its ports, its log and the signals it gets. */
public final class FleetProcess {
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
    private final String mMain;
    private final Path mFolder;
    private Process mProcess;

    FleetProcess(String name, String main, Path folder) {
        mName = name;
        mMain = main;
        mFolder = folder;
    }

    /** Returns the program's name. */
    public String name() {
        return mName;
    }

    Path portFile(String suffix) {
        return mFolder.resolve(mName + suffix + ".port");
    }

    void writeSettings(String yaml) {
        write(mFolder.resolve(mName + ".yaml"), yaml);
    }

    /** Starts the process, the first time or again with the same settings. */
    public void start() {
        try {
            Files.deleteIfExists(portFile(""));
            Files.deleteIfExists(portFile("-metrics"));
            ProcessBuilder builder = new ProcessBuilder(new ArrayList<>(JAVA));
            builder.command().addAll(List.of("-cp", classPath(), mMain, "--settings"));
            builder.command().add(mFolder.resolve(mName + ".yaml").toString());
            builder.redirectErrorStream(true);
            builder.redirectOutput(
                    ProcessBuilder.Redirect.appendTo(mFolder.resolve(mName + ".log").toFile()));
            mProcess = builder.start();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private static String classPath() {
        // Surefire's own class path is a jar that names the entries; the property lists them.
        return System.getProperty(
                "surefire.test.class.path", System.getProperty("java.class.path"));
    }

    /** Returns the port that the program listens on, once it does. */
    public int port() {
        return readPort("");
    }

    /** Returns the port of metrics and readiness, once the program listens there. */
    public int metricsPort() {
        return readPort("-metrics");
    }

    private int readPort(String suffix) {
        Path file = portFile(suffix);
        Await.until("a port in " + file, () -> !isRunning() || !read(file).isEmpty());
        if (!isRunning()) {
            throw new AssertionError(mName + " has ended; its log is in " + mFolder);
        }
        return Integer.parseInt(read(file));
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

    void destroy() {
        if (mProcess != null) {
            mProcess.destroyForcibly();
        }
    }

    private static String read(Path file) {
        try {
            return Files.exists(file) ? Files.readString(file).strip() : "";
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private static void write(Path file, String text) {
        try {
            Files.writeString(file, text);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
