package org.laurelweir.sidecar.backend;

import io.netty.handler.codec.http.HttpHeaders;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import org.laurelweir.attempt.Header;

/** The headers that concern one connection only and must not be passed on (RFC 9110, 7.6.1). */
final class HopByHopHeaders {
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

    private HopByHopHeaders() {}

    static boolean isHopByHop(String name) {
        return NAMES.contains(name.toLowerCase(Locale.ROOT));
    }

    /** Returns the headers without the hop-by-hop ones. */
    static List<Header> endToEnd(HttpHeaders headers) {
        List<Header> endToEnd = new ArrayList<>();
        for (Map.Entry<String, String> h : headers) {
            if (!isHopByHop(h.getKey())) {
                endToEnd.add(new Header(h.getKey(), h.getValue()));
            }
        }
        return endToEnd;
    }
}
