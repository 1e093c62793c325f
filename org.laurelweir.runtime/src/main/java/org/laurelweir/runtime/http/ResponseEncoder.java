package org.laurelweir.runtime.http;

import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseEncoder;

/** Encodes the answers of a connection that serves one request at a time. */
public final class ResponseEncoder extends HttpResponseEncoder {
    private boolean mIsHead;

    /** Called with each request's method before its answer. The answer to HEAD has no body. */
    public void onRequest(HttpMethod method) {
        mIsHead = method.equals(HttpMethod.HEAD);
    }

    @Override
    protected boolean isContentAlwaysEmpty(HttpResponse response) {
        return mIsHead || super.isContentAlwaysEmpty(response);
    }
}
