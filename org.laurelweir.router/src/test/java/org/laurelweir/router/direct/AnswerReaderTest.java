package org.laurelweir.router.direct;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.laurelweir.answer.BodyFraming;
import org.laurelweir.direct.AnswerMetadata.ReportedLoad;
import org.laurelweir.router.http.HttpDialect;

/** Tests the load header of backend servers. */
class AnswerReaderTest {
    private static final HttpDialect DIALECT = HttpDialect.DEFAULT;

    private static Optional<ReportedLoad> load(String header) {
        return load(HttpResponseStatus.OK, header);
    }

    private static Optional<ReportedLoad> load(HttpResponseStatus status, String header) {
        HttpResponse response = new DefaultHttpResponse(HttpVersion.HTTP_1_1, status);
        response.headers().set(DIALECT.load(), header);
        return new AnswerReader(DIALECT).metadata("id", response, BodyFraming.LENGTH).load();
    }

    @Test
    void fourthNumberIsTheWorkTime() {
        assertThat(load("3, 1, 6, 250")).contains(new ReportedLoad(3, 1, 6, 250));
        assertThat(load("3,1,6,10")).contains(new ReportedLoad(3, 1, 6, 10));
        assertThat(load("3,1,6,10000")).contains(new ReportedLoad(3, 1, 6, 10_000));
    }

    // Guards against a wrong figure that steers requests, and against losing the other three.
    @Test
    void missingMalformedOrImplausibleWorkTimeIsUnknown() {
        List<String> headers =
                List.of(
                        "3,1,6",
                        "3,1,6,",
                        "3,1,6, ",
                        "3,1,6,x",
                        "3,1,6,9",
                        "3,1,6,10001",
                        "3,1,6,-250",
                        "3,1,6,99999999999");
        assertThat(headers).allMatch(h -> load(h).equals(Optional.of(new ReportedLoad(3, 1, 6))));
    }

    @Test
    void loadWithLessThanThreeNumbersIsIgnored() {
        assertThat(load("3,1")).isEmpty();
        assertThat(load("3,x,6,250")).isEmpty();
    }

    /** Guards against a number that no server can mean, and that draws all requests to it. */
    @Test
    void impossibleNumberOfRequestsIsIgnored() {
        List<String> headers =
                List.of(
                        "-3,1,6",
                        "3,-1,6",
                        "3,1,-6",
                        "2147483647,2147483647,6",
                        "1000001,0,6",
                        "99999999999,0,6",
                        "3.5,1,6",
                        "0x3,1,6",
                        ",1,6");
        assertThat(headers).allMatch(h -> load(h).isEmpty());
        assertThat(load("1000000,0,6")).contains(new ReportedLoad(1_000_000, 0, 6));
        assertThat(load("0,0,0")).contains(new ReportedLoad(0, 0, 0));
    }

    /** Guards against the load of the server that has the address now, taken for another's. */
    @Test
    void loadOfAnotherServerAtTheAddressIsIgnored() {
        assertThat(load(HttpResponseStatus.MISDIRECTED_REQUEST, "3,1,6")).isEmpty();
        assertThat(load(HttpResponseStatus.SERVICE_UNAVAILABLE, "3,1,6"))
                .contains(new ReportedLoad(3, 1, 6));
    }
}
