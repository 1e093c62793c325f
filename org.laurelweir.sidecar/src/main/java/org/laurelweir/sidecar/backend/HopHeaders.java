package org.laurelweir.sidecar.backend;

import io.netty.handler.codec.http.HttpHeaders;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import org.laurelweir.attempt.Header;

/** Keeps the headers that concern one connection only from being passed on (RFC 9110, 7.6.1). */
final class HopHeaders {
    private static final Set<String> NAMES =
            Set.of(
                    "connection",
                    "keep-alive",
                    "proxy-authenticate",
                    "proxy-authorization",
                    "proxy-connection",
                    "te",
                    "trailer",
                    "transfer-encoding",
                    "upgrade");

    private HopHeaders() {}

    static boolean isOne(String name) {
        return NAMES.contains(name.toLowerCase(Locale.ROOT));
    }

    /** Returns the headers to pass on. */
    static List<Header> passedOn(HttpHeaders headers) {
        List<Header> passed = new ArrayList<>();
        for (Map.Entry<String, String> h : headers) {
            if (!isOne(h.getKey())) {
                passed.add(new Header(h.getKey(), h.getValue()));
            }
        }
        return passed;
    }
}
