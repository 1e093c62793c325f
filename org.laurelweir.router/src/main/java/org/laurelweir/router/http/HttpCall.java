package org.laurelweir.router.http;

import io.netty.handler.codec.http.HttpHeaders;

/**
 * A caller's request, read whole.
 *
 * @param method the HTTP method
 * @param uri path and query as the caller wrote them
 * @param headers all of its headers
 * @param body its body, empty where it has none
 */
public record HttpCall(String method, String uri, HttpHeaders headers, byte[] body) {
    /** Returns the URL's path. */
    public String path() {
        int query = uri.indexOf('?');
        return query < 0 ? uri : uri.substring(0, query);
    }

    /** Returns a header's first value, or empty. */
    public String header(String name) {
        return headers.get(name, "");
    }
}
