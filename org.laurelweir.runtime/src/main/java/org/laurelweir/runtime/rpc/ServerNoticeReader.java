package org.laurelweir.runtime.rpc;

import com.google.common.flogger.FluentLogger;
import io.netty.handler.codec.DateFormatter;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.time.Duration;
import java.util.Date;
import java.util.Locale;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.regex.Pattern;
import org.laurelweir.answer.ServerNotice;

/** Reads what a backend server says of itself from the heads of its answers. */
public final class ServerNoticeReader {
    /** Default name of the header with which a backend server says that it is about to stop. */
    public static final String DEFAULT_LEAVING_HEADER = "X-Server-Leaving";

    /**
     * Maximum backoff. A server that wants a longer one asks again in answer to the next request.
     * The maximum keeps a wrong number from excluding a server for good.
     */
    public static final Duration MAX_BACKOFF = Duration.ofMinutes(10);

    private static final FluentLogger sLogger = FluentLogger.forEnclosingClass();
    private static final Pattern SECONDS = Pattern.compile("\\d+(\\.\\d+)?");
    private static final Set<String> NOT_LEAVING = Set.of("", "0", "false");

    private final String mLeavingHeader;

    /**
     * Creates a reader.
     *
     * @param leavingHeader name of the header that says that the server is about to stop
     */
    public ServerNoticeReader(String leavingHeader) {
        mLeavingHeader = leavingHeader;
    }

    /** Returns what the head of an answer says of the server that sent it. */
    public ServerNotice read(HttpResponse head) {
        String leaving = head.headers().get(mLeavingHeader);
        boolean isLeaving =
                leaving != null && !NOT_LEAVING.contains(leaving.strip().toLowerCase(Locale.ROOT));
        Duration backoff = backoff(head);
        return backoff.isZero() && !isLeaving
                ? ServerNotice.NONE
                : new ServerNotice(backoff, isLeaving);
    }

    /** Returns the longest backoff that the head asks for, if it rejects the request with 503. */
    private static Duration backoff(HttpResponse head) {
        if (head.status().code() != HttpResponseStatus.SERVICE_UNAVAILABLE.code()) {
            return Duration.ZERO;
        }
        Duration longest = Duration.ZERO;
        for (String value : head.headers().getAll(HttpHeaderNames.RETRY_AFTER)) {
            Duration backoff = parse(value.strip(), head.headers());
            longest = backoff.compareTo(longest) > 0 ? backoff : longest;
        }
        return longest;
    }

    private static Duration parse(String value, HttpHeaders headers) {
        if (SECONDS.matcher(value).matches()) {
            double seconds = Math.min(Double.parseDouble(value), MAX_BACKOFF.toSeconds());
            return Duration.ofNanos((long) (seconds * TimeUnit.SECONDS.toNanos(1)));
        }
        Date end = DateFormatter.parseHttpDate(value);
        Date sent = parseDate(headers.get(HttpHeaderNames.DATE));
        if (end == null || sent == null) {
            sLogger.atInfo().atMostEvery(1, TimeUnit.MINUTES).log(
                    "ignored Retry-After \"%s\" of a backend server, expected seconds, or a date"
                            + " in an answer with a Date header",
                    value);
            return Duration.ZERO;
        }
        // Both dates are by the server's clock, so that its difference to ours has no effect.
        long millis = Math.max(0, end.getTime() - sent.getTime());
        return Duration.ofMillis(Math.min(millis, MAX_BACKOFF.toMillis()));
    }

    private static Date parseDate(String value) {
        return value == null ? null : DateFormatter.parseHttpDate(value);
    }
}
