package org.laurelweir.runtime.metrics;

import com.codahale.metrics.MetricRegistry;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.QueryStringDecoder;
import java.nio.charset.StandardCharsets;

/** Answers a request for metrics, health or readiness and closes the connection. */
final class MetricsHandler extends SimpleChannelInboundHandler<FullHttpRequest> {
    private static final String PLAIN_TEXT_TYPE = "text/plain; charset=utf-8";
    private static final String EXPOSITION_TYPE = "text/plain; version=0.0.4; charset=utf-8";

    private final MetricRegistry mRegistry;
    private final Readiness mReadiness;

    MetricsHandler(MetricRegistry registry, Readiness readiness) {
        mRegistry = registry;
        mReadiness = readiness;
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
        context.writeAndFlush(answer(request)).addListener(ChannelFutureListener.CLOSE);
    }

    private FullHttpResponse answer(FullHttpRequest request) {
        if (!request.method().equals(HttpMethod.GET)) {
            return response(
                    HttpResponseStatus.METHOD_NOT_ALLOWED, PLAIN_TEXT_TYPE, "allowed: GET\n");
        }
        return switch (new QueryStringDecoder(request.uri()).path()) {
            case "/metrics" ->
                    response(HttpResponseStatus.OK, EXPOSITION_TYPE, MetricsText.format(mRegistry));
            case "/healthz" -> response(HttpResponseStatus.OK, PLAIN_TEXT_TYPE, "alive\n");
            case "/readyz" -> readiness();
            default ->
                    response(
                            HttpResponseStatus.NOT_FOUND,
                            PLAIN_TEXT_TYPE,
                            "known: /metrics, /healthz, /readyz\n");
        };
    }

    private FullHttpResponse readiness() {
        return mReadiness
                .notReadyReason()
                .map(
                        r ->
                                response(
                                        HttpResponseStatus.SERVICE_UNAVAILABLE,
                                        PLAIN_TEXT_TYPE,
                                        r + "\n"))
                .orElseGet(() -> response(HttpResponseStatus.OK, PLAIN_TEXT_TYPE, "ready\n"));
    }

    private static FullHttpResponse response(HttpResponseStatus status, String type, String body) {
        byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
        FullHttpResponse response =
                new DefaultFullHttpResponse(
                        HttpVersion.HTTP_1_1, status, Unpooled.wrappedBuffer(bytes));
        response.headers().set(HttpHeaderNames.CONTENT_TYPE, type);
        response.headers().setInt(HttpHeaderNames.CONTENT_LENGTH, bytes.length);
        response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        return response;
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        context.close();
    }
}
