package org.laurelweir.runtime.rpc;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import org.laurelweir.answer.BodyFraming;

/** Finds out from the head of an HTTP/1.1 answer what tells the end of its body. */
public final class AnswerFraming {
    private AnswerFraming() {}

    /**
     * Returns what tells the end of an answer's body.
     *
     * @param method the method of the request
     */
    public static BodyFraming of(String method, HttpResponse answer) {
        if (HttpUtil.isTransferEncodingChunked(answer)) {
            return BodyFraming.CHUNKS;
        }
        boolean hasLength = answer.headers().contains(HttpHeaderNames.CONTENT_LENGTH);
        return hasLength || hasNoBody(method, answer.status())
                ? BodyFraming.LENGTH
                : BodyFraming.CONNECTION;
    }

    private static boolean hasNoBody(String method, HttpResponseStatus status) {
        return method.equals(HttpMethod.HEAD.name())
                || status.code() == HttpResponseStatus.NO_CONTENT.code()
                || status.code() == HttpResponseStatus.NOT_MODIFIED.code();
    }
}
