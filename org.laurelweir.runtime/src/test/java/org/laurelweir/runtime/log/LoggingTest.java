package org.laurelweir.runtime.log;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.google.common.flogger.FluentLogger;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.laurelweir.lib.Decision;

/** Tests the log lines in both formats, logged through Flogger and through java.util.logging. */
class LoggingTest {
    private static final FluentLogger sLogger = FluentLogger.forEnclosingClass();
    private static final Decision DECISION =
            Decision.builder(Instant.EPOCH, "router")
                    .request("r1-5-77")
                    .chat(0xabcL)
                    .account("broker-1")
                    .candidates(List.of("s-2", "s-1"))
                    .choice("s-2", "home")
                    .load(0.8, 1.25)
                    .loadAgeMillis(310)
                    .build();

    @TempDir Path mFolder;

    @Test
    void writesJsonLinesWithTheFieldsOfADecision() throws IOException {
        Path file = mFolder.resolve("log.json");
        LogSettings settings =
                new LogSettings(LogSettings.Format.JSON, LogSettings.Level.INFO, Optional.of(file));
        try (Logging log = new Logging(settings)) {
            log.start();
            DecisionLog.write(DECISION);
            sLogger.atFine().log("below the level");
            sLogger.atWarning().withCause(new IllegalStateException("why")).log("two\nlines");
        }

        List<String> lines = Files.readAllLines(file);
        assertThat(lines).hasSize(2);
        JsonNode decision = new ObjectMapper().readTree(lines.get(0));
        assertThat(decision.path("message").asText()).isEqualTo("router decision");
        assertThat(decision.path("candidates").asText()).isEqualTo("s-2 s-1");
        assertThat(decision.path("load").isNumber()).isTrue();
        assertThat(decision.path("bound").asDouble()).isEqualTo(1.25);
        assertThat(decision.path("load_age_ms").asDouble()).isEqualTo(310);
        assertThat(decision.path("chat").asText()).isEqualTo("abc");
        assertThat(decision.has("service")).isFalse();
        JsonNode warning = new ObjectMapper().readTree(lines.get(1));
        assertThat(warning.path("level").asText()).isEqualTo("WARN");
        assertThat(warning.path("error").asText()).contains("IllegalStateException: why");
    }

    // Guards against a warning of a decision that is dropped like an ordinary line under load.
    @Test
    void decisionsThatAreWarningsHaveTheirLevelAndTheSameFields() throws IOException {
        Path file = mFolder.resolve("log.json");
        LogSettings settings =
                new LogSettings(LogSettings.Format.JSON, LogSettings.Level.WARN, Optional.of(file));
        try (Logging log = new Logging(settings)) {
            log.start();
            DecisionLog.write(DECISION);
            DecisionLog.writeWarning(DECISION);
        }

        List<String> lines = Files.readAllLines(file);
        assertThat(lines).hasSize(1);
        JsonNode warning = new ObjectMapper().readTree(lines.get(0));
        assertThat(warning.path("level").asText()).isEqualTo("WARN");
        assertThat(warning.path("message").asText()).isEqualTo("router decision");
        assertThat(warning.path("choice").asText()).isEqualTo("s-2");
    }

    @Test
    void writesPlainLinesToStandardErrorAndNothingElse() {
        PrintStream before = System.err;
        ByteArrayOutputStream captured = new ByteArrayOutputStream();
        System.setErr(new PrintStream(captured, true, StandardCharsets.UTF_8));
        try (Logging log = new Logging(LogSettings.defaults())) {
            log.start();
            sLogger.atInfo().log("started");
            DecisionLog.write(DECISION);
            java.util.logging.Logger.getLogger("io.grpc.Sample").warning("from gRPC");
        } finally {
            System.setErr(before);
        }

        assertThat(captured.toString(StandardCharsets.UTF_8).lines())
                .satisfiesExactly(
                        l -> assertThat(l).endsWith(" INFO  LoggingTest: started"),
                        l ->
                                assertThat(l)
                                        .endsWith(
                                                " INFO  DecisionLog: router decision"
                                                        + " {account=broker-1, bound=1.25,"
                                                        + " candidates=s-2 s-1, chat=abc,"
                                                        + " choice=s-2, load=0.8,"
                                                        + " load_age_ms=310.0, reason=home,"
                                                        + " request=r1-5-77}"),
                        l -> assertThat(l).endsWith(" WARN  Sample: from gRPC"));
    }
}
