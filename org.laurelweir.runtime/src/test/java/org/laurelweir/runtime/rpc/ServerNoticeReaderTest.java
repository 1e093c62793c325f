package org.laurelweir.runtime.rpc;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import java.time.Duration;
import org.junit.jupiter.api.Test;
import org.laurelweir.answer.ServerNotice;

/** Tests what is read of a backend server from the heads of its answers. */
class ServerNoticeReaderTest {
    private static final String LEAVING = "X-Leaving";
    private static final String SENT = "Fri, 04 Dec 2026 10:00:00 GMT";

    private final ServerNoticeReader mReader = new ServerNoticeReader(LEAVING);

    private ServerNotice read(int status, String... headers) {
        HttpResponse head =
                new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status));
        for (int i = 0; i < headers.length; i += 2) {
            head.headers().add(headers[i], headers[i + 1]);
        }
        return mReader.read(head);
    }

    private Duration backoff(String retryAfter) {
        return read(503, "Retry-After", retryAfter).backoff();
    }

    @Test
    void backoffIsReadInSecondsWithFractions() {
        assertThat(backoff("3")).isEqualTo(Duration.ofSeconds(3));
        assertThat(backoff("0.25")).isEqualTo(Duration.ofMillis(250));
    }

    @Test
    void backoffIsTheTimeBetweenTheDatesOfTheServer() {
        String end = "Fri, 04 Dec 2026 10:00:07 GMT";
        assertThat(read(503, "Date", SENT, "Retry-After", end).backoff())
                .isEqualTo(Duration.ofSeconds(7));
        assertThat(read(503, "Retry-After", end)).isEqualTo(ServerNotice.NONE);
        assertThat(read(503, "Date", end, "Retry-After", SENT)).isEqualTo(ServerNotice.NONE);
    }

    /** Guards against a server that is excluded for good by a wrong number. */
    @Test
    void endlessBackoffIsLimited() {
        assertThat(backoff("99999999999999999999")).isEqualTo(ServerNoticeReader.MAX_BACKOFF);
        assertThat(backoff("9".repeat(400))).isEqualTo(ServerNoticeReader.MAX_BACKOFF);
        assertThat(
                        read(503, "Date", SENT, "Retry-After", "Sat, 04 Dec 2027 10:00:00 GMT")
                                .backoff())
                .isEqualTo(ServerNoticeReader.MAX_BACKOFF);
    }

    @Test
    void malformedBackoffIsIgnored() {
        for (String value : new String[] {"", "soon", "-5", "NaN", "1e9", "0x10", "3 s"}) {
            assertThat(read(503, "Retry-After", value)).isEqualTo(ServerNotice.NONE);
        }
    }

    @Test
    void longestOfSeveralBackoffsCounts() {
        assertThat(read(503, "Retry-After", "2", "Retry-After", "5", "Retry-After", "x").backoff())
                .isEqualTo(Duration.ofSeconds(5));
    }

    @Test
    void otherStatusAsksForNoBackoff() {
        assertThat(read(200, "Retry-After", "3")).isEqualTo(ServerNotice.NONE);
        assertThat(read(429, "Retry-After", "3")).isEqualTo(ServerNotice.NONE);
    }

    @Test
    void leavingIsReadFromAnyStatus() {
        for (int status : new int[] {100, 200, 404, 421, 500, 503}) {
            assertThat(read(status, LEAVING, "1").leaving()).isTrue();
        }
        assertThat(read(200, LEAVING, "0")).isEqualTo(ServerNotice.NONE);
        assertThat(read(200, LEAVING, "false")).isEqualTo(ServerNotice.NONE);
        assertThat(read(200)).isEqualTo(ServerNotice.NONE);
    }
}
