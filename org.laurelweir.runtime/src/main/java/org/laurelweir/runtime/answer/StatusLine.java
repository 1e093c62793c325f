package org.laurelweir.runtime.answer;

import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** The first line of an answer (RFC 9112, 4). */
record StatusLine(HttpVersion version, HttpResponseStatus status) {
    /**
     * The minor version, the status and the reason. Some servers leave out the blank before an
     * empty reason.
     */
    private static final Pattern LINE =
            Pattern.compile("HTTP/1\\.([0-9]) ([1-9][0-9]{2})(?: (.*))?", Pattern.DOTALL);

    /**
     * Parses a line.
     *
     * @throws MalformedAnswerException if it is no status line of HTTP/1
     */
    static StatusLine parse(String line) {
        Matcher parts = LINE.matcher(line);
        if (!parts.matches()) {
            throw new MalformedAnswerException("the first line is no status line of HTTP/1");
        }
        int code = Integer.parseInt(parts.group(2));
        String reason = parts.group(3) == null ? "" : parts.group(3);
        FieldSyntax.checkText(reason);
        boolean isOld = parts.group(1).equals("0");
        return new StatusLine(
                isOld ? HttpVersion.HTTP_1_0 : HttpVersion.HTTP_1_1,
                new HttpResponseStatus(code, reason));
    }
}
