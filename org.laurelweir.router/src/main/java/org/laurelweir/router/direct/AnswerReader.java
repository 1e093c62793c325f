package org.laurelweir.router.direct;

import com.google.common.flogger.FluentLogger;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.laurelweir.attempt.Header;
import org.laurelweir.direct.AnswerMetadata;
import org.laurelweir.router.http.HttpDialect;

/** Reads what the head of an answer says to the router. */
final class AnswerReader {
    private static final FluentLogger sLogger = FluentLogger.forEnclosingClass();
    private static final int MISDIRECTED = 421;
    private static final int LOAD_FIELDS = 3;

    private final HttpDialect mDialect;

    AnswerReader(HttpDialect dialect) {
        mDialect = dialect;
    }

    /** Returns whether an answer bears the name of another request than the given one. */
    boolean isOfAnother(String id, HttpResponse r) {
        String told = r.headers().get(mDialect.requestId());
        return told != null && !id.isEmpty() && !told.equals(id);
    }

    List<Header> headers(HttpResponse r) {
        List<Header> headers = new ArrayList<>();
        for (Map.Entry<String, String> h : r.headers()) {
            headers.add(new Header(h.getKey(), h.getValue()));
        }
        return headers;
    }

    AnswerMetadata facts(String id, HttpResponse r) {
        int status = r.status().code();
        boolean other = status == MISDIRECTED;
        boolean notRun = other || r.headers().contains(mDialect.notRun());
        boolean genuine = !isOfAnother(id, r) && (status / 100 != 2 || isSealed(r.headers()));
        return new AnswerMetadata(notRun, other, genuine, load(r.headers()));
    }

    private boolean isSealed(HttpHeaders headers) {
        return mDialect.seal().isEmpty() || headers.contains(mDialect.seal());
    }

    private Optional<AnswerMetadata.ReportedLoad> load(HttpHeaders headers) {
        String told = headers.get(mDialect.load());
        if (told == null) {
            return Optional.empty();
        }
        String[] numbers = told.split(",");
        if (numbers.length < LOAD_FIELDS) {
            return Optional.empty();
        }
        try {
            return Optional.of(
                    new AnswerMetadata.ReportedLoad(
                            Integer.parseInt(numbers[0].strip()),
                            Integer.parseInt(numbers[1].strip()),
                            Integer.parseInt(numbers[2].strip())));
        } catch (NumberFormatException e) {
            // As good as none: the router goes by its own counts.
            sLogger.atInfo().atMostEvery(1, TimeUnit.MINUTES).log(
                    "load \"%s\" of a backend server can't be read, passed over", told);
            return Optional.empty();
        }
    }
}
