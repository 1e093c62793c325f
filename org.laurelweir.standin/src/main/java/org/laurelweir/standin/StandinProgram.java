package org.laurelweir.standin;

import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.Optional;
import java.util.function.Function;
import org.laurelweir.errors.LaurelweirException;
import org.laurelweir.lib.ResultCode;
import org.laurelweir.lib.Service;
import org.laurelweir.runtime.config.SettingsFile;
import org.laurelweir.runtime.log.Logging;
import org.laurelweir.runtime.process.Program;
import org.laurelweir.runtime.rpc.PortFile;
import org.laurelweir.standin.http.HttpServer;

/** Starts a stand-in from its settings file, reports its port, and stops it on SIGTERM. */
public final class StandinProgram {
    private StandinProgram() {}

    /** A stand-in that serves HTTP calls. */
    public interface HttpService {
        /** Returns the server; its address is bound once the stand-in has started. */
        HttpServer server();
    }

    /**
     * Runs a stand-in until the process receives SIGTERM. If the stand-in cannot start, the process
     * ends with the exit code of the failure.
     *
     * @param name the program's name, for messages
     * @param settings the path of the settings file; null if none was given
     * @param type the settings record
     * @param create creates the stand-in from its settings
     */
    public static <S extends Record & StandinSettings, T extends Service & HttpService> void run(
            String name, String settings, Class<S> type, Function<S, T> create) {
        Program.run(
                name,
                () -> {
                    if (settings == null) {
                        throw new LaurelweirException(
                                ResultCode.USAGE, "--settings FILE is needed");
                    }
                    S s = SettingsFile.read(type, Path.of(settings));
                    new Logging(s.log()).start();
                    return new PortReporter<>(create.apply(s), s.portFile());
                });
    }

    /** Starts a stand-in, then writes its port file and prints its address. */
    private record PortReporter<T extends Service & HttpService>(T standin, Optional<Path> portFile)
            implements Service {
        @Override
        public void start() {
            standin.start();
            InetSocketAddress address = standin.server().address();
            portFile.ifPresent(f -> PortFile.write(f, address.getPort()));
            System.out.println("listening on " + address.getHostString() + ":" + address.getPort());
            System.out.flush();
        }

        @Override
        public void stop() {
            standin.stop();
        }
    }
}
