package org.laurelweir.admission;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Deque;
import java.util.List;
import org.laurelweir.attempt.Frame;

/**
 * The output of one attempt that routers may still ask for. Output is dropped only from its
 * beginning and never before it is acknowledged.
 */
final class OutputBuffer {
    /**
     * Bytes counted for each attempt in addition to its output, so that many small answers count
     * too.
     */
    static final long OVERHEAD_BYTES = 1024;

    private final Deque<Frame.Data> mPieces = new ArrayDeque<>();
    private final boolean mKeepsAcknowledged;
    private final OutputTotal mTotal;
    private long mStart;
    private long mAcknowledged;
    private long mEnd;

    /**
     * Creates an empty buffer.
     *
     * @param keepsAcknowledged whether acknowledged output is kept for another reader
     * @param total counts the bytes of all buffers
     */
    OutputBuffer(boolean keepsAcknowledged, OutputTotal total) {
        mKeepsAcknowledged = keepsAcknowledged;
        mTotal = total;
        total.add(OVERHEAD_BYTES);
    }

    /** Appends a piece and returns it with its offset. */
    Frame.Data append(byte[] bytes) {
        Frame.Data piece = new Frame.Data(mEnd, bytes);
        mPieces.add(piece);
        mEnd += bytes.length;
        mTotal.add(bytes.length);
        return piece;
    }

    /**
     * Records that a reader has received all output below an offset. An offset beyond the end can't
     * belong to this attempt and is ignored.
     */
    void acknowledge(long offset) {
        if (offset <= mAcknowledged || offset > mEnd) {
            return;
        }
        mAcknowledged = offset;
        if (!mKeepsAcknowledged) {
            dropAcknowledged();
        }
    }

    /** Drops the pieces that are acknowledged as a whole. */
    void dropAcknowledged() {
        while (!mPieces.isEmpty() && endOf(mPieces.peek()) <= mAcknowledged) {
            Frame.Data piece = mPieces.remove();
            mStart = endOf(piece);
            mTotal.add(-piece.bytes().length);
        }
    }

    /** Drops all output. Call it once, at the end of the buffer's use. */
    void release() {
        mTotal.add(-(mEnd - mStart) - OVERHEAD_BYTES);
        mPieces.clear();
        mStart = mEnd;
    }

    /** Returns whether the buffer holds all output from an offset on. */
    boolean holdsFrom(long offset) {
        return offset >= mStart && offset <= mEnd;
    }

    /** Returns the output from an offset on. {@link #holdsFrom} has to be true for the offset. */
    List<Frame.Data> piecesFrom(long offset) {
        List<Frame.Data> pieces = new ArrayList<>();
        for (Frame.Data p : mPieces) {
            if (p.offset() >= offset) {
                pieces.add(p);
            } else if (endOf(p) > offset) {
                int skipped = (int) (offset - p.offset());
                byte[] rest = Arrays.copyOfRange(p.bytes(), skipped, p.bytes().length);
                pieces.add(new Frame.Data(offset, rest));
            }
        }
        return pieces;
    }

    long end() {
        return mEnd;
    }

    /** Returns how many bytes no reader has acknowledged. */
    long unacknowledgedBytes() {
        return mEnd - mAcknowledged;
    }

    private static long endOf(Frame.Data piece) {
        return piece.offset() + piece.bytes().length;
    }
}
