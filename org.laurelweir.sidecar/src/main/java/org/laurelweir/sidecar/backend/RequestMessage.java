package org.laurelweir.sidecar.backend;

import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import org.laurelweir.attempt.AttemptRequest;
import org.laurelweir.attempt.Header;

/** Builds the HTTP request that the backend server receives for an attempt. */
final class RequestMessage {
    private static final String REQUEST_ID = "X-Request-Id";

    private RequestMessage() {}

    static FullHttpRequest of(AttemptRequest request, String host) {
        AttemptRequest.Call call = request.call();
        FullHttpRequest message =
                new DefaultFullHttpRequest(
                        HttpVersion.HTTP_1_1,
                        HttpMethod.valueOf(call.method()),
                        call.path(),
                        Unpooled.wrappedBuffer(call.body()));
        for (Header h : call.headers()) {
            if (!HopByHopHeaders.isHopByHop(h.name())) {
                message.headers().add(h.name(), h.value());
            }
        }
        message.headers().set(HttpHeaderNames.HOST, host);
        message.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        message.headers().setInt(HttpHeaderNames.CONTENT_LENGTH, call.body().length);
        if (!message.headers().contains(REQUEST_ID)) {
            message.headers().set(REQUEST_ID, request.id().requestName());
        }
        return message;
    }
}
