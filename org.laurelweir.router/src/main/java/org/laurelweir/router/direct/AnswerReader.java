package org.laurelweir.router.direct;

import com.google.common.flogger.FluentLogger;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.laurelweir.answer.BodyFraming;
import org.laurelweir.answer.EndHeader;
import org.laurelweir.attempt.Header;
import org.laurelweir.direct.AnswerMetadata;
import org.laurelweir.router.http.HttpDialect;

/** Reads the headers of a backend server's answer that are addressed to the router. */
final class AnswerReader {
    private static final FluentLogger sLogger = FluentLogger.forEnclosingClass();
    private static final int MISDIRECTED = 421;
    private static final int LOAD_FIELDS = 3;

    /** Far above what any server runs or queues, and small enough to be added up. */
    private static final int MAX_REQUEST_COUNT = 1_000_000;

    private static final int MIN_WORK_TIME_PERCENT = 10;
    private static final int MAX_WORK_TIME_PERCENT = 10_000;

    private final HttpDialect mDialect;

    AnswerReader(HttpDialect dialect) {
        mDialect = dialect;
    }

    /** Returns whether an answer names another request id than the given one. */
    boolean isForOtherRequest(String id, HttpResponse r) {
        String answered = r.headers().get(mDialect.requestId());
        return answered != null && !id.isEmpty() && !answered.equals(id);
    }

    /** Returns whether an answer names the given request id. */
    boolean isNamedIn(String id, HttpResponse r) {
        return !id.isEmpty() && id.equals(r.headers().get(mDialect.requestId()));
    }

    /** Returns the headers of an answer for its caller. */
    List<Header> headers(HttpResponse r, BodyFraming framing) {
        List<Header> headers = new ArrayList<>();
        for (Map.Entry<String, String> h : r.headers()) {
            headers.add(new Header(h.getKey(), h.getValue()));
        }
        return EndHeader.applyTo(headers, framing);
    }

    AnswerMetadata metadata(String id, HttpResponse r, BodyFraming framing) {
        int status = r.status().code();
        boolean misdirected = status == MISDIRECTED;
        boolean notRun = misdirected || r.headers().contains(mDialect.notRun());
        boolean genuine = !isForOtherRequest(id, r) && (status / 100 != 2 || isSealed(r.headers()));
        // Another server that has the address now tells its own load, not that of the intended one.
        Optional<AnswerMetadata.ReportedLoad> load =
                misdirected ? Optional.empty() : reportedLoad(r.headers());
        return new AnswerMetadata(notRun, misdirected, genuine, framing, load);
    }

    private boolean isSealed(HttpHeaders headers) {
        return mDialect.seal().isEmpty() || headers.contains(mDialect.seal());
    }

    private Optional<AnswerMetadata.ReportedLoad> reportedLoad(HttpHeaders headers) {
        String value = headers.get(mDialect.load());
        if (value == null) {
            return Optional.empty();
        }
        String[] numbers = value.split(",");
        if (numbers.length < LOAD_FIELDS) {
            return Optional.empty();
        }
        try {
            return Optional.of(
                    new AnswerMetadata.ReportedLoad(
                            count(numbers[0].strip()),
                            count(numbers[1].strip()),
                            count(numbers[2].strip()),
                            numbers.length > LOAD_FIELDS
                                    ? workTimePercent(numbers[LOAD_FIELDS].strip())
                                    : AnswerMetadata.ReportedLoad.UNKNOWN_WORK_TIME));
        } catch (NumberFormatException e) {
            // The router then relies on its own counts, as it does without the header.
            sLogger.atInfo().atMostEvery(1, TimeUnit.MINUTES).log(
                    "ignored malformed load \"%s\" of a backend server, expected N,N,N", value);
            return Optional.empty();
        }
    }

    /**
     * Reads a number of requests. A negative or enormous one would draw all requests to its server,
     * or keep all away.
     */
    private static int count(String value) {
        int count = Integer.parseInt(value);
        if (count < 0 || count > MAX_REQUEST_COUNT) {
            throw new NumberFormatException("no number of requests: " + value);
        }
        return count;
    }

    /** Reads the work time, without which the router relies on the speed that it has learned. */
    private static int workTimePercent(String value) {
        try {
            int percent = Integer.parseInt(value);
            if (percent >= MIN_WORK_TIME_PERCENT && percent <= MAX_WORK_TIME_PERCENT) {
                return percent;
            }
        } catch (NumberFormatException e) {
            // Logged below, as an implausible value is.
        }
        sLogger.atInfo().atMostEvery(1, TimeUnit.MINUTES).log(
                "ignored work time \"%s\" in the load of a backend server, expected %d to %d",
                value, MIN_WORK_TIME_PERCENT, MAX_WORK_TIME_PERCENT);
        return AnswerMetadata.ReportedLoad.UNKNOWN_WORK_TIME;
    }
}
