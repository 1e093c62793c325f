package org.laurelweir.runtime.answer;

import io.netty.buffer.ByteBuf;
import java.nio.charset.StandardCharsets;

/** Reads the lines of an answer's head, chunk sizes and trailers. Looks at each byte once. */
final class LineReader {
    private int mScannedBytes;

    /**
     * Reads the next line, which ends with CR LF. A lone LF is refused: not everybody takes it for
     * the end of a line.
     *
     * @param maxBytes maximum size of the line with its end
     * @return the line without its end, one character a byte; null if its end has not come yet
     * @throws MalformedAnswerException if the line is too long or ends with LF alone
     */
    String read(ByteBuf input, int maxBytes) {
        int start = input.readerIndex();
        int end = input.indexOf(start + mScannedBytes, input.writerIndex(), (byte) '\n');
        int size = end < 0 ? input.readableBytes() : end + 1 - start;
        if (size > maxBytes) {
            throw new MalformedAnswerException("a line is too long");
        }
        if (end < 0) {
            mScannedBytes = size;
            return null;
        }
        mScannedBytes = 0;
        if (size == 1 || input.getByte(end - 1) != '\r') {
            throw new MalformedAnswerException("a line ends with LF alone");
        }
        String line = input.toString(start, size - 2, StandardCharsets.ISO_8859_1);
        input.skipBytes(size);
        return line;
    }
}
