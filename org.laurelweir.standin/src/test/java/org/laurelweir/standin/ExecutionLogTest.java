package org.laurelweir.standin;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.time.InstantSource;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.laurelweir.runtime.config.Endpoint;
import org.laurelweir.runtime.log.LogSettings;
import org.laurelweir.standin.plain.PlainServer;
import org.laurelweir.standin.plain.PlainSettings;

/** Checks an execution log that holds fewer runs than there were. */
@Timeout(120)
class ExecutionLogTest {
    private static final int MAX_KEPT = 3;

    @TempDir private Path mFolder;

    /**
     * A fault delays the first call, so it still runs when three newer runs have evicted it from
     * memory. Its caller still gets the complete answer, a read reports one dropped run, and the
     * file has the run's start and end.
     */
    @Test
    void memoryHoldsNewestRunsAndFileHoldsAll() throws IOException {
        Path file = mFolder.resolve("executions");
        PlainServer server = new PlainServer(settings(file), InstantSource.system());
        server.start();
        try (server) {
            HttpCalls calls = new HttpCalls(server.server().address());
            calls.call("POST", "/plain/faults", "{\"kind\":\"late\",\"delayMillis\":1500}");
            CompletableFuture<HttpResponse<String>> late = calls.send("POST", "/first", "{}");
            while (calls.executions("/plain").started() == 0) {
                Thread.onSpinWait();
            }
            for (int i = 0; i < MAX_KEPT; i++) {
                calls.call("POST", "/next", "{}");
            }
            assertThat(HttpCalls.await(late).statusCode()).isEqualTo(201);

            AdminEndpoints.Executions held = calls.executions("/plain");
            assertThat(held.executions()).extracting(Execution::path).containsOnly("/next");
            assertThat(held.executions()).hasSize(MAX_KEPT);
            assertThat(held.dropped()).isEqualTo(1);
            assertThat(held.lacksRunsAfter(0)).isTrue();
            assertThat(held.lacksRunsAfter(1)).isFalse();
        }
        assertThat(Files.readAllLines(file)).filteredOn(l -> l.contains("/first")).hasSize(2);
    }

    private static PlainSettings settings(Path file) {
        return new PlainSettings(
                "bookings",
                new Endpoint("127.0.0.1", 0),
                Optional.empty(),
                Duration.ZERO,
                new ExecutionSettings(MAX_KEPT, Optional.of(file)),
                LogSettings.defaults());
    }
}
