package org.laurelweir.runtime.metrics;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import java.net.ConnectException;
import java.net.Socket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.laurelweir.errors.LaurelweirException;
import org.laurelweir.runtime.config.Endpoint;

/** Tests the three pages of the metrics server. */
class MetricsServerTest {
    private final MetricRegistry mRegistry = new MetricRegistry();
    private final AtomicReference<String> mReason = new AtomicReference<>();
    private final MetricsServer mServer =
            new MetricsServer(
                    new Endpoint("127.0.0.1", 0),
                    mRegistry,
                    () -> Optional.ofNullable(mReason.get()));

    @BeforeEach
    void start() {
        mServer.start();
    }

    @AfterEach
    void stop() {
        mServer.stop();
    }

    private HttpResponse<String> get(String path) throws Exception {
        URI uri = URI.create("http://" + mServer.endpoint() + path);
        return HttpClient.newHttpClient()
                .send(HttpRequest.newBuilder(uri).build(), HttpResponse.BodyHandlers.ofString());
    }

    @Test
    void writesEachKindOfMetricInTheExpositionFormat() throws Exception {
        mRegistry.counter(MetricNames.labelled("requests.answered", "code", "2001")).inc(3);
        mRegistry.counter(MetricNames.labelled("requests.answered", "code", "0")).inc(4);
        mRegistry.counter("requests.answered").inc(7);
        mRegistry.register("queue.length", (Gauge<Integer>) () -> 5);
        mRegistry.register("build", (Gauge<String>) () -> "no number");
        mRegistry.histogram("tokens").update(100);
        mRegistry.timer("first-token").update(1500, TimeUnit.MILLISECONDS);

        HttpResponse<String> answer = get("/metrics");

        assertThat(answer.statusCode()).isEqualTo(200);
        assertThat(answer.body())
                .contains(
                        """
                        # TYPE laurelweir_queue_length gauge
                        laurelweir_queue_length 5
                        # TYPE laurelweir_requests_answered_total counter
                        laurelweir_requests_answered_total{code="0"} 4
                        laurelweir_requests_answered_total{code="2001"} 3
                        laurelweir_requests_answered_total 7
                        # TYPE laurelweir_tokens summary
                        laurelweir_tokens{quantile="0.5"} 100.0
                        """)
                .contains("laurelweir_first_token_seconds{quantile=\"0.5\"} 1.5")
                .contains("laurelweir_first_token_seconds_count 1")
                .doesNotContain("no number");
    }

    @Test
    void distinguishesHealthAndReadiness() throws Exception {
        mReason.set("no settings yet");
        assertThat(get("/healthz").statusCode()).isEqualTo(200);
        assertThat(get("/readyz"))
                .satisfies(r -> assertThat(r.statusCode()).isEqualTo(503))
                .satisfies(r -> assertThat(r.body()).isEqualTo("no settings yet\n"));
        mReason.set(null);
        assertThat(get("/readyz").statusCode()).isEqualTo(200);
        assertThat(get("/other").statusCode()).isEqualTo(404);
    }

    @Test
    void rejectsAPortInUse() {
        MetricsServer second = new MetricsServer(mServer.endpoint(), mRegistry, Optional::empty);
        assertThatThrownBy(second::start)
                .isInstanceOf(LaurelweirException.class)
                .hasMessageContaining("metrics cannot listen on 127.0.0.1");
    }

    // Guards against a stopped server that still listens: its clients would connect and get no
    // answer.
    @Test
    void stoppedServerRefusesConnections() {
        for (int i = 0; i < 1_000; i++) {
            MetricsServer server =
                    new MetricsServer(new Endpoint("127.0.0.1", 0), mRegistry, Optional::empty);
            server.start();
            int port = server.endpoint().port();
            server.stop();
            assertThatThrownBy(() -> new Socket("127.0.0.1", port).close())
                    .as("stop %d", i)
                    .isInstanceOf(ConnectException.class);
        }
    }
}
