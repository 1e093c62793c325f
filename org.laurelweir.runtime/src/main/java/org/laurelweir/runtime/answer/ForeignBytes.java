package org.laurelweir.runtime.answer;

import io.netty.handler.codec.http.HttpResponse;
import java.util.Map;
import java.util.regex.Pattern;

/**
 * Finds heads of answers that hold the beginning of another answer. A server that breaks off within
 * a head and then sends the next answer on the same connection makes such a head: "HTTP/1.1 200 OK"
 * and "HTTP/1.1 500 Error" read as one status line with status 200, and the headers of the second
 * answer make it look genuine.
 */
final class ForeignBytes {
    private static final Pattern STATUS_LINE = Pattern.compile("HTTP/\\d\\.\\d \\d{3}");

    private ForeignBytes() {}

    /** Returns whether a status line stands within the reason or the headers of a head. */
    static boolean isIn(HttpResponse head) {
        if (isStatusLineIn(head.status().reasonPhrase())) {
            return true;
        }
        for (Map.Entry<String, String> h : head.headers()) {
            if (isStatusLineIn(h.getValue())) {
                return true;
            }
        }
        return false;
    }

    private static boolean isStatusLineIn(String text) {
        return text.contains("HTTP/") && STATUS_LINE.matcher(text).find();
    }
}
