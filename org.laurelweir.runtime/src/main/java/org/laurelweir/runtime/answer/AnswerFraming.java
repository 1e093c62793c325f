package org.laurelweir.runtime.answer;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpVersion;
import java.util.List;
import org.laurelweir.answer.BodyFraming;

/** Finds out from the head of an HTTP/1.1 answer what tells the end of its body. */
public final class AnswerFraming {
    private static final int MAX_LENGTH_DIGITS = 18;

    private AnswerFraming() {}

    /**
     * Returns what tells the end of an answer's body.
     *
     * @param method the method of the request
     */
    public static BodyFraming of(String method, HttpResponse answer) {
        if (hasNoBody(method, answer.status())) {
            return BodyFraming.LENGTH;
        }
        if (answer.headers().contains(HttpHeaderNames.TRANSFER_ENCODING)) {
            return BodyFraming.CHUNKS;
        }
        return answer.headers().contains(HttpHeaderNames.CONTENT_LENGTH)
                ? BodyFraming.LENGTH
                : BodyFraming.CONNECTION;
    }

    private static boolean hasNoBody(String method, HttpResponseStatus status) {
        return method.equals(HttpMethod.HEAD.name())
                || status.codeClass() == HttpStatusClass.INFORMATIONAL
                || status.code() == HttpResponseStatus.NO_CONTENT.code()
                || status.code() == HttpResponseStatus.NOT_MODIFIED.code();
    }

    /**
     * Returns the length of a body that is framed by its length, in bytes.
     *
     * @param method the method of the request
     */
    static long length(String method, HttpResponse answer) {
        return hasNoBody(method, answer.status()) ? 0 : parseLength(answer.headers());
    }

    /**
     * Checks that a head tells the end of its body in one way, and that its status allows a body if
     * it announces one.
     *
     * @throws MalformedAnswerException if not
     */
    static void check(HttpResponse answer) {
        HttpHeaders fields = answer.headers();
        boolean hasLength = fields.contains(HttpHeaderNames.CONTENT_LENGTH);
        boolean isChunked = fields.contains(HttpHeaderNames.TRANSFER_ENCODING);
        boolean isNotEmpty = hasLength && parseLength(fields) > 0;
        if (isChunked) {
            checkChunked(answer, hasLength);
        }
        checkStatus(answer.status(), isChunked, isNotEmpty);
    }

    private static void checkChunked(HttpResponse answer, boolean hasLength) {
        List<String> encodings = answer.headers().getAll(HttpHeaderNames.TRANSFER_ENCODING);
        boolean isChunked =
                encodings.size() == 1
                        && HttpHeaderValues.CHUNKED.contentEqualsIgnoreCase(encodings.get(0));
        if (!isChunked || hasLength || answer.protocolVersion().equals(HttpVersion.HTTP_1_0)) {
            throw new MalformedAnswerException(
                    "the head of the answer has a transfer encoding that is not chunked, or that"
                            + " contradicts its length or version");
        }
    }

    private static void checkStatus(
            HttpResponseStatus status, boolean isChunked, boolean isNotEmpty) {
        if (status.code() == HttpResponseStatus.SWITCHING_PROTOCOLS.code()) {
            throw new MalformedAnswerException(
                    "the server switches to a protocol that was not requested");
        }
        boolean isInterim = status.codeClass() == HttpStatusClass.INFORMATIONAL;
        boolean forbidsBody = isInterim || status.code() == HttpResponseStatus.NO_CONTENT.code();
        if (forbidsBody && isChunked || (forbidsBody || forbidsContent(status)) && isNotEmpty) {
            throw bodyForbidden();
        }
    }

    /** Returns whether a body has to be empty, though it is framed as others are. */
    static boolean forbidsContent(HttpResponseStatus status) {
        return status.code() == HttpResponseStatus.RESET_CONTENT.code();
    }

    /** Returns the exception for an answer with a body that its status forbids. */
    static MalformedAnswerException bodyForbidden() {
        return new MalformedAnswerException("the answer has a body, which its status forbids");
    }

    private static long parseLength(HttpHeaders fields) {
        List<String> lengths = fields.getAll(HttpHeaderNames.CONTENT_LENGTH);
        String length = lengths.get(0);
        boolean isNumber =
                lengths.size() == 1
                        && !length.isEmpty()
                        && length.length() <= MAX_LENGTH_DIGITS
                        && length.chars().allMatch(c -> c >= '0' && c <= '9');
        if (!isNumber) {
            throw new MalformedAnswerException("the length of the answer is not one number");
        }
        return Long.parseLong(length);
    }
}
