package org.laurelweir.router.http;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import org.laurelweir.attempt.Header;

/** Parts headers that concern one connection, or the caller's account, from those passed on. */
public final class HopHeaders {
    private static final Set<String> OF_CONNECTION =
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

    /** The bearer key is the account's secret towards the router only. */
    private static final String AUTHORIZATION = "authorization";

    private HopHeaders() {}

    /** Returns the headers of a request that its backend server gets. */
    public static List<Header> passedOn(HttpCall call) {
        Set<String> named = namedByConnection(call);
        List<Header> kept = new ArrayList<>();
        for (Map.Entry<String, String> h : call.headers()) {
            String name = h.getKey().toLowerCase(Locale.ROOT);
            boolean dropped = OF_CONNECTION.contains(name) || named.contains(name);
            if (!dropped && !name.equals(AUTHORIZATION)) {
                kept.add(new Header(h.getKey(), h.getValue()));
            }
        }
        return kept;
    }

    /** Returns whether a header of an answer is passed on to the caller. */
    static boolean isPassedOn(Header h) {
        return !OF_CONNECTION.contains(h.name().toLowerCase(Locale.ROOT));
    }

    private static Set<String> namedByConnection(HttpCall call) {
        Set<String> names = new HashSet<>();
        for (String value : call.headers().getAll("connection")) {
            for (String name : value.split(",")) {
                names.add(name.strip().toLowerCase(Locale.ROOT));
            }
        }
        return names;
    }
}
