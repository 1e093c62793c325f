package org.laurelweir.runtime.answer;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpResponse;

/** Reads the head of one answer: the status line and the fields. */
final class AnswerHead {
    private static final int MAX_STATUS_LINE_BYTES = 16 << 10;

    private final LineReader mLines = new LineReader();
    private final FieldLines mFields = new FieldLines(mLines);
    private StatusLine mStatusLine;

    /**
     * Reads what has come of the head.
     *
     * @return the head, or null if it is not complete
     * @throws MalformedAnswerException as soon as it is known that the bytes are no head
     */
    HttpResponse read(ByteBuf input) {
        if (!readStatusLine(input) || !mFields.read(input)) {
            return null;
        }
        HttpResponse head =
                new DefaultHttpResponse(
                        mStatusLine.version(), mStatusLine.status(), mFields.fields());
        if (ForeignBytes.isIn(head)) {
            throw new MalformedAnswerException("the head of the answer holds another one");
        }
        return head;
    }

    /** Reads the status line. Some servers end a body with an empty line, which comes before it. */
    private boolean readStatusLine(ByteBuf input) {
        while (mStatusLine == null) {
            String line = mLines.read(input, MAX_STATUS_LINE_BYTES);
            if (line == null) {
                return false;
            }
            mStatusLine = line.isEmpty() ? null : StatusLine.parse(line);
        }
        return true;
    }
}
