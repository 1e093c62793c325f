package org.laurelweir.standin;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.function.Function;
import org.laurelweir.errors.LaurelweirException;
import org.laurelweir.lib.Service;
import org.laurelweir.standin.http.HttpServer;

/** Starts a stand-in from its settings file, tells where it listens, and stops it on SIGTERM. */
public final class StandinProgram {
    /** The exit status on wrong use. */
    public static final int USAGE_STATUS = 2;

    private static final int FAILED_STATUS = 1;

    private StandinProgram() {}

    /**
     * Runs a stand-in until the process is told to end.
     *
     * @param settings the path of the settings file; null if none was given
     * @param type the settings record
     * @param create makes the stand-in from its settings
     * @return the exit status if it could not start: 2 on wrong use, else 1
     */
    public static <S, T extends Service & Listening> int run(
            String settings, Class<S> type, Function<S, T> create) {
        if (settings == null) {
            System.err.println("--settings FILE is needed");
            return USAGE_STATUS;
        }
        try {
            T service = create.apply(SettingsFile.read(Path.of(settings), type));
            service.start();
            Runtime.getRuntime().addShutdownHook(new Thread(service::stop, "stop"));
            announce(service.server().address(), service.listen().portFile());
            Thread.currentThread().join();
            return 0;
        } catch (LaurelweirException e) {
            System.err.println(e);
            return FAILED_STATUS;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return FAILED_STATUS;
        }
    }

    /** A stand-in that listens for HTTP calls. */
    public interface Listening {
        /** Returns the server, bound once the stand-in has started. */
        HttpServer server();

        /** Returns the settings of the address. */
        ListenSettings listen();
    }

    private static void announce(InetSocketAddress at, String portFile) {
        if (portFile != null) {
            writePort(Path.of(portFile), at.getPort());
        }
        System.out.println("listening on " + at.getHostString() + ":" + at.getPort());
        System.out.flush();
    }

    /** Moves the file into place, so that a reader never sees it empty. */
    private static void writePort(Path file, int port) {
        Path part = file.resolveSibling(file.getFileName() + ".part");
        try {
            Files.writeString(part, port + "\n");
            Files.move(part, file, StandardCopyOption.REPLACE_EXISTING);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
