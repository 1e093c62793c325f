package org.laurelweir.packaging.fleet;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.laurelweir.junit.JavaProcess;

/** One program as a process: its settings file, its ports, its log and the signals it gets. */
public final class FleetProcess {
    private final String mName;
    private final Path mFolder;
    private final JavaProcess mProcess;

    FleetProcess(String name, String main, Path folder) {
        mName = name;
        mFolder = folder;
        String settings = folder.resolve(name + ".yaml").toString();
        mProcess =
                new JavaProcess(
                        name, folder.resolve(name + ".log"), main, List.of("--settings", settings));
    }

    /** Returns the program's name. */
    public String name() {
        return mName;
    }

    Path portFile(String suffix) {
        return mFolder.resolve(mName + suffix + ".port");
    }

    void writeSettings(String yaml) {
        try {
            Files.writeString(mFolder.resolve(mName + ".yaml"), yaml);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Starts the process, the first time or again with the same settings. */
    public void start() {
        try {
            Files.deleteIfExists(portFile(""));
            Files.deleteIfExists(portFile("-metrics"));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        mProcess.start();
    }

    /** Returns the port that the program listens on, once it does. */
    public int port() {
        return mProcess.awaitPort(portFile(""));
    }

    /** Returns the port of metrics and readiness, once the program listens there. */
    public int metricsPort() {
        return mProcess.awaitPort(portFile("-metrics"));
    }

    /** Returns whether the process is there. */
    public boolean isRunning() {
        return mProcess.isRunning();
    }

    /** SIGKILL: the process ends at once, in the middle of whatever it does. */
    public void kill() {
        mProcess.kill();
    }

    /** SIGTERM: the process ends in its own time. */
    public void terminate() {
        mProcess.terminate();
    }

    /** SIGSTOP: the process stands still with its connections open. */
    public void freeze() {
        mProcess.freeze();
    }

    /** SIGCONT: the process goes on. */
    public void resume() {
        mProcess.resume();
    }

    /** Waits for the end of the process and returns its exit status. */
    public int awaitExit() {
        return mProcess.awaitExit();
    }

    void destroy() {
        mProcess.destroy();
    }
}
