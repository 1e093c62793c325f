package org.laurelweir.router.http;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import org.laurelweir.attempt.Header;

/** Selects the headers to forward: all but hop-by-hop headers and the caller's API key. */
public final class HopByHopHeaders {
    private static final Set<String> HOP_BY_HOP =
            Set.of(
                    "connection",
                    "content-length",
                    "expect",
                    "host",
                    "keep-alive",
                    "proxy-authenticate",
                    "proxy-authorization",
                    "proxy-connection",
                    "te",
                    "trailer",
                    "transfer-encoding",
                    "upgrade");

    /** The API key is a secret between the client account and the router. */
    private static final String AUTHORIZATION = "authorization";

    private HopByHopHeaders() {}

    /** Returns the headers of a request that are forwarded to the backend server. */
    public static List<Header> forwardedHeaders(HttpCall call) {
        Set<String> options = connectionOptions(call);
        List<Header> forwarded = new ArrayList<>();
        for (Map.Entry<String, String> h : call.headers()) {
            String name = h.getKey().toLowerCase(Locale.ROOT);
            boolean dropped = HOP_BY_HOP.contains(name) || options.contains(name);
            if (!dropped && !name.equals(AUTHORIZATION)) {
                forwarded.add(new Header(h.getKey(), h.getValue()));
            }
        }
        return forwarded;
    }

    /** Returns whether a header of an answer is forwarded to the caller. */
    static boolean isForwarded(Header h) {
        return !HOP_BY_HOP.contains(h.name().toLowerCase(Locale.ROOT));
    }

    private static Set<String> connectionOptions(HttpCall call) {
        Set<String> names = new HashSet<>();
        for (String value : call.headers().getAll("connection")) {
            for (String name : value.split(",")) {
                names.add(name.strip().toLowerCase(Locale.ROOT));
            }
        }
        return names;
    }
}
