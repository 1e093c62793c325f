package org.laurelweir.router.http;

import io.netty.handler.codec.http.HttpHeaders;

/**
 * A caller's complete request.
 *
 * @param method the HTTP method
 * @param uri path and query, as sent by the caller
 * @param headers all headers
 * @param body the body, empty if there is none
 */
public record HttpCall(String method, String uri, HttpHeaders headers, byte[] body) {
    /** Returns the URL's path. */
    public String path() {
        int query = uri.indexOf('?');
        return query < 0 ? uri : uri.substring(0, query);
    }

    /** Returns a header's first value, or an empty string. */
    public String header(String name) {
        return headers.get(name, "");
    }
}
