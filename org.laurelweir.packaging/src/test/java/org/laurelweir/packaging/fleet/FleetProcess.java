package org.laurelweir.packaging.fleet;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.laurelweir.junit.JavaProcess;

/**
 * One program of a fleet as a process: its settings file, its port files, its log and the signals
 * sent to it.
 */
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

    /** Starts the process, also again after its end, with the same settings. */
    public void start() {
        try {
            Files.deleteIfExists(portFile(""));
            Files.deleteIfExists(portFile("-metrics"));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        mProcess.start();
    }

    /** Waits until the program listens and returns its port. */
    public int port() {
        return mProcess.awaitPort(portFile(""));
    }

    /** Waits until the program serves metrics and readiness, and returns the port of these. */
    public int metricsPort() {
        return mProcess.awaitPort(portFile("-metrics"));
    }

    /** Returns whether the process runs; also true while it is frozen. */
    public boolean isRunning() {
        return mProcess.isRunning();
    }

    /** Sends SIGKILL: the process ends at once, without clean-up. */
    public void kill() {
        mProcess.kill();
    }

    /** Sends SIGTERM: the process drains and then exits. */
    public void terminate() {
        mProcess.terminate();
    }

    /** Sends SIGSTOP: the process freezes with its connections open. */
    public void freeze() {
        mProcess.freeze();
    }

    /** Sends SIGCONT: the process resumes. */
    public void resume() {
        mProcess.resume();
    }

    /** Waits until the process exits and returns its exit status. */
    public int awaitExit() {
        return mProcess.awaitExit();
    }

    void destroy() {
        mProcess.destroy();
    }
}
