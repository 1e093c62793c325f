package org.laurelweir.runtime.answer;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.DefaultHttpHeadersFactory;
import io.netty.handler.codec.http.HttpHeaders;

/** Reads the fields of a head or of trailers, up to the empty line after them. */
final class FieldLines {
    private static final int MAX_BYTES = 64 << 10;

    private final LineReader mLines;
    private final HttpHeaders mFields =
            DefaultHttpHeadersFactory.headersFactory().withValidation(false).newHeaders();

    /** The last field. Folded lines may follow, which are parts of its value. */
    private String mName;

    private final StringBuilder mValue = new StringBuilder();
    private int mReadBytes;

    FieldLines(LineReader lines) {
        mLines = lines;
    }

    /**
     * Reads what has come of the fields.
     *
     * @return whether they are complete
     * @throws MalformedAnswerException as soon as it is known that a line is no field
     */
    boolean read(ByteBuf input) {
        int before = input.readableBytes();
        String line = mLines.read(input, MAX_BYTES - mReadBytes);
        while (line != null && !line.isEmpty()) {
            mReadBytes += before - input.readableBytes();
            onLine(line);
            before = input.readableBytes();
            line = mLines.read(input, MAX_BYTES - mReadBytes);
        }
        if (line == null) {
            return false;
        }
        endField();
        return true;
    }

    private void onLine(String line) {
        if (FieldSyntax.isBlank(line.charAt(0))) {
            onFoldedLine(line);
            return;
        }
        endField();
        int colon = line.indexOf(':');
        if (colon < 0) {
            throw new MalformedAnswerException("a line of the head or trailers has no colon");
        }
        mName = line.substring(0, colon);
        FieldSyntax.checkName(mName);
        mValue.setLength(0);
        appendToValue(line.substring(colon + 1));
    }

    private void onFoldedLine(String line) {
        if (mName == null) {
            throw new MalformedAnswerException("the first field begins with a blank");
        }
        mValue.append(' ');
        appendToValue(line);
    }

    private void appendToValue(String text) {
        FieldSyntax.checkText(text);
        mValue.append(FieldSyntax.trim(text));
    }

    private void endField() {
        if (mName != null) {
            mFields.add(mName, FieldSyntax.trim(mValue.toString()));
        }
    }

    /** Returns the fields in the order in which they came. */
    HttpHeaders fields() {
        return mFields;
    }
}
