package org.laurelweir.router.direct;

import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import org.laurelweir.attempt.AttemptRequest;
import org.laurelweir.attempt.Header;
import org.laurelweir.direct.DirectEffect;
import org.laurelweir.direct.RoutedRequest;
import org.laurelweir.router.http.HttpDialect;

/** Builds the request to a backend server: the caller's request plus the router's headers. */
final class RequestWriter {
    private static final int MAX_PRIORITY = 9;

    private final HttpDialect mDialect;

    RequestWriter(HttpDialect dialect) {
        mDialect = dialect;
    }

    FullHttpRequest write(DirectEffect.BeginCall call) {
        RoutedRequest request = call.request();
        AttemptRequest.Call c = request.call();
        FullHttpRequest message =
                new DefaultFullHttpRequest(
                        HttpVersion.HTTP_1_1,
                        HttpMethod.valueOf(c.method()),
                        c.path(),
                        Unpooled.wrappedBuffer(c.body()));
        HttpHeaders headers = message.headers();
        for (Header h : c.headers()) {
            headers.add(h.name(), h.value());
        }
        headers.set(mDialect.timeLeft(), Long.toString(call.timeLeft().toMillis()));
        headers.set(mDialect.target(), call.backend().id());
        headers.remove(mDialect.account());
        if (!request.account().isEmpty()) {
            headers.set(mDialect.account(), request.account());
        }
        if (request.prompt().isPresent()) {
            int rank = MAX_PRIORITY - request.priority();
            headers.set(mDialect.priority(), Integer.toString(rank));
        }
        if (!call.resumeAfter().isEmpty()) {
            headers.set(mDialect.resumeAfter(), call.resumeAfter());
        }
        if (!call.fetchFrom().isEmpty()) {
            headers.set(mDialect.fetchFrom(), call.fetchFrom());
        }
        if (c.body().length > 0 || mayHaveBody(c.method())) {
            headers.setInt(HttpHeaderNames.CONTENT_LENGTH, c.body().length);
        }
        return message;
    }

    private static boolean mayHaveBody(String method) {
        return !method.equals("GET") && !method.equals("HEAD") && !method.equals("DELETE");
    }
}
