package org.laurelweir.answer;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Optional;

/**
 * Splits a stream of server-sent events into complete events. If a backend server fails in the
 * middle of an event, the incomplete event must not be forwarded: the stream may be resumed at
 * another server, and the caller would read the two parts as one corrupt event.
 *
 * <p>An event is a block of lines that ends with an empty line. A line ends with LF, CR LF or CR,
 * and one that starts with a colon is a comment. A block of comments is no event.
 */
public final class EventFramer {
    private static final byte[] EMPTY = new byte[0];
    private static final String ID_FIELD = "id:";
    private static final String RETRY_FIELD = "retry:";
    private static final String COMMENT = ":";

    private byte[] mIncomplete = EMPTY;
    private String mLastId = "";
    private int mEventCount;

    /** Whether no event came without an id after the last one with an id. */
    private boolean mIsIdentified = true;

    /** Number of bytes in the current line, without its end. */
    private int mLineLength;

    private boolean mIsComment;

    /** Whether the current block has a line that is neither empty nor a comment. */
    private boolean mHasField;

    /** Whether the last byte was a CR which ends the line, alone or with the next byte. */
    private boolean mIsAfterCr;

    /** Whether the last byte was a CR that ended the line; an LF after it is part of that end. */
    private boolean mIsAfterLoneCr;

    /** Whether the last line ended with a CR alone, so that the next CR needs no LF either. */
    private boolean mEndsWithLoneCr;

    /**
     * Adds the next data of the stream; returns the blocks that it completes, or an empty array.
     */
    public byte[] add(byte[] data) {
        int offset = mIncomplete.length;
        byte[] all = offset == 0 ? data : concat(mIncomplete, data);
        int end = 0;
        for (int i = offset; i < all.length; i++) {
            int blockEnd = readByte(all[i], i);
            if (blockEnd > 0) {
                recordBlock(all, end, blockEnd);
                end = blockEnd;
            }
        }
        mIncomplete = end == all.length ? EMPTY : Arrays.copyOfRange(all, end, all.length);
        return end == all.length ? all : Arrays.copyOf(all, end);
    }

    private static byte[] concat(byte[] a, byte[] b) {
        byte[] all = Arrays.copyOf(a, a.length + b.length);
        System.arraycopy(b, 0, all, a.length, b.length);
        return all;
    }

    /** Reads the byte at an index; returns the end of the block that it ends, or 0. */
    private int readByte(byte b, int i) {
        if (mIsAfterLoneCr && b == '\n') {
            mIsAfterLoneCr = false;
            mEndsWithLoneCr = false;
            return 0;
        }
        mIsAfterLoneCr = false;
        if (b == '\n') {
            mIsAfterCr = false;
            mEndsWithLoneCr = false;
            return endLine() ? i + 1 : 0;
        }
        int end = 0;
        if (mIsAfterCr) {
            mIsAfterCr = false;
            mEndsWithLoneCr = true;
            end = endLine() ? i : 0;
        }
        if (b != '\r') {
            mIsComment = mLineLength == 0 ? b == ':' : mIsComment;
            mLineLength++;
            return end;
        }
        return readCr(i, end);
    }

    private int readCr(int i, int end) {
        if (!mEndsWithLoneCr) {
            mIsAfterCr = true;
            return end;
        }
        mIsAfterLoneCr = true;
        return endLine() ? i + 1 : end;
    }

    /** Ends the current line; returns whether it was empty, which ends the block. */
    private boolean endLine() {
        if (mLineLength == 0) {
            return true;
        }
        mHasField |= !mIsComment;
        mLineLength = 0;
        return false;
    }

    private void recordBlock(byte[] all, int start, int end) {
        if (!mHasField) {
            return;
        }
        mHasField = false;
        mEventCount++;
        String event = new String(all, start, end - start, StandardCharsets.UTF_8);
        Optional<String> id = event.lines().filter(l -> l.startsWith(ID_FIELD)).reduce((a, b) -> b);
        id.ifPresent(l -> mLastId = l.substring(ID_FIELD.length()).strip());
        mIsIdentified =
                id.isPresent() || mIsIdentified && event.lines().noneMatch(EventFramer::hasContent);
    }

    private static boolean hasContent(String line) {
        return !line.isEmpty() && !line.startsWith(COMMENT) && !line.startsWith(RETRY_FIELD);
    }

    /** Returns the last id in any complete event, or empty. */
    public String lastId() {
        return mLastId;
    }

    /**
     * Returns whether the stream can go on after the last id: no event since then would come twice.
     */
    public boolean isIdentified() {
        return mIsIdentified;
    }

    /** Returns the number of bytes after the last complete block. */
    public int incompleteLength() {
        return mIncomplete.length;
    }

    /** Returns the number of complete events so far. */
    public int eventCount() {
        return mEventCount;
    }

    /**
     * Returns whether the stream would be broken off if it ended here: within a line, or after a
     * field whose event is not complete.
     */
    public boolean isInsideEvent() {
        return mHasField || mLineLength > 0;
    }

    /** Removes and returns the data after the last complete block. The next data starts a line. */
    public byte[] takeIncomplete() {
        byte[] incomplete = mIncomplete;
        mIncomplete = EMPTY;
        mLineLength = 0;
        mHasField = false;
        mIsAfterCr = false;
        mIsAfterLoneCr = false;
        mEndsWithLoneCr = false;
        return incomplete;
    }
}
