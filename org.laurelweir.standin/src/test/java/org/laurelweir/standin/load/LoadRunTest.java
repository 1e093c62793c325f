package org.laurelweir.standin.load;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.InetSocketAddress;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.InstantSource;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.laurelweir.runtime.config.Endpoint;
import org.laurelweir.standin.HttpCalls;
import org.laurelweir.standin.engine.BatchSettings;
import org.laurelweir.standin.engine.EngineServer;
import org.laurelweir.standin.engine.EngineSettings;
import org.laurelweir.standin.http.HttpServer;
import org.laurelweir.standin.plain.PlainServer;
import org.laurelweir.standin.plain.PlainSettings;

/** Checks complete runs of the load generator against stand-ins, without routers. */
@Timeout(120)
class LoadRunTest {
    private static final long SEED = 42;

    private EngineServer mEngine;
    private PlainServer mPlain;

    @BeforeEach
    void start() {
        BatchSettings fast = BatchSettings.DEFAULT.withRates(5000, 8, 1_000_000);
        mEngine =
                new EngineServer(
                        EngineSettings.builder()
                                .batch(fast)
                                .answerTokens(20)
                                .tick(Duration.ofMillis(1))
                                .build(),
                        InstantSource.system());
        mPlain = new PlainServer(PlainSettings.named("bookings"), InstantSource.system());
        mEngine.start();
        mPlain.start();
    }

    @AfterEach
    void stop() {
        mEngine.stop();
        mPlain.stop();
    }

    @Test
    void returningChatsReuseTheCache() throws InterruptedException {
        Report report = run(plan(mEngine.server(), 6, 0));

        assertThat(report.isWhole()).as(report.table()).isTrue();
        assertThat(report.requests().answered()).isEqualTo(18);
        assertThat(report.cacheReuse()).isBetween(0.5, 1.0);
        assertThat(report.skew().byRequests()).isEqualTo(1.0);
        assertThat(report.firstToken().count()).isBetween(1L, 17L);
    }

    /**
     * One answer is cut in the middle. Its chat ends there, the other chats continue, and the
     * report says that the run is not complete.
     */
    @Test
    void truncatedAnswerIsReported() throws InterruptedException {
        new HttpCalls(mEngine.server().address())
                .call("POST", "/engine/faults", "{\"kind\":\"cut\",\"after\":4}");
        Report report = run(plan(mEngine.server(), 6, 0));

        assertThat(report.isWhole()).isFalse();
        assertThat(report.requests().errors()).containsOnlyKeys("connection");
        assertThat(report.requests().answered()).isBetween(15, 17);
    }

    /**
     * The first call is refused with a Retry-After header. The load generator retries it and gets
     * an answer.
     */
    @Test
    void refusedCallIsRetried() throws InterruptedException {
        new HttpCalls(mPlain.server().address())
                .call("POST", "/plain/faults", "{\"kind\":\"refuse\"}");
        Report report = run(plan(mPlain.server(), 0, 10));

        assertThat(report.isWhole()).as(report.table()).isTrue();
        assertThat(report.requests().refusals()).containsEntry("overloaded", 1);
        assertThat(report.repeatedRuns()).isEmpty();
    }

    /**
     * A faulty router sends each call twice. Every caller gets an answer, so only the services'
     * execution logs show that the POSTs ran twice.
     */
    @Test
    void repeatedPostIsReported() throws InterruptedException {
        HttpCalls service = new HttpCalls(mPlain.server().address());
        HttpServer duplicatingRouter =
                new HttpServer(
                        new Endpoint("127.0.0.1", 0),
                        exchange -> {
                            String body = new String(exchange.body(), StandardCharsets.UTF_8);
                            String key = exchange.header("Idempotency-Key").orElse("none");
                            service.call(
                                    exchange.method(),
                                    exchange.path(),
                                    body,
                                    "Idempotency-Key",
                                    key);
                            String answer =
                                    service.call(
                                                    exchange.method(),
                                                    exchange.path(),
                                                    body,
                                                    "Idempotency-Key",
                                                    key)
                                            .body();
                            exchange.respond(
                                    200,
                                    "application/json",
                                    answer.getBytes(StandardCharsets.UTF_8));
                        });
        duplicatingRouter.start();
        try (duplicatingRouter) {
            Report report = run(plan(duplicatingRouter, 0, 4));
            assertThat(report.requests().answered()).isEqualTo(4);
            assertThat(report.repeatedRuns()).hasSizeGreaterThanOrEqualTo(2);
            assertThat(report.isWhole()).isFalse();
        }
    }

    @Test
    void controlBytesAreSummedOverLabels() {
        String page =
                "# TYPE laurelweir_control_bytes_total counter\n"
                        + "laurelweir_control_bytes_total{peer=\"a b\",way=\"in\"} 12\n"
                        + "laurelweir_control_bytes_total{peer=\"c\"} 1.5E3 1700000000\n"
                        + "laurelweir_control_bytes_total_other 7\n"
                        + "laurelweir_control_bytes_total 3\n";
        assertThat(Scraper.controlBytes(page)).isEqualTo(1515);
    }

    private Report run(LoadPlan plan) throws InterruptedException {
        RunObserver.Targets targets =
                new RunObserver.Targets(
                        List.of(uri(mEngine.server())), List.of(uri(mPlain.server())), List.of());
        return new LoadRun(plan).run(new RunObserver(targets));
    }

    private static LoadPlan plan(HttpServer router, int chats, int plainCalls) {
        return new LoadPlan(
                List.of(uri(router)),
                new Accounts(List.of("k-1", "k-2", "k-3"), 1),
                new LoadPlan.Chats(
                        "standin", chats, 3, Duration.ZERO, 0.5, 0.5, 4000, 20, "X-Chat-Id"),
                new LoadPlan.Plain(List.of("/bookings", "/certificates"), plainCalls),
                4,
                SEED,
                1,
                Duration.ofSeconds(60));
    }

    private static URI uri(HttpServer server) {
        InetSocketAddress address = server.address();
        return URI.create("http://" + address.getHostString() + ":" + address.getPort());
    }
}
