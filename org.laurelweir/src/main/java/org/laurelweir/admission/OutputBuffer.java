package org.laurelweir.admission;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Deque;
import java.util.List;
import org.laurelweir.attempt.Frame;

/**
 * One attempt's output as far as a reader may still ask for it. Output is dropped from its
 * beginning only, and never before it is acknowledged.
 */
final class OutputBuffer {
    /** What an attempt takes beside its output, so that many small answers count too. */
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
     * @param keepsAcknowledged whether output stays after a reader took it, for another reader
     * @param total counts what all buffers hold
     */
    OutputBuffer(boolean keepsAcknowledged, OutputTotal total) {
        mKeepsAcknowledged = keepsAcknowledged;
        mTotal = total;
        total.add(OVERHEAD_BYTES);
    }

    /** Adds a piece and returns it with its offset. */
    Frame.Data append(byte[] bytes) {
        Frame.Data piece = new Frame.Data(mEnd, bytes);
        mPieces.add(piece);
        mEnd += bytes.length;
        mTotal.add(bytes.length);
        return piece;
    }

    /**
     * Notes that a reader has taken all output below an offset. An offset beyond the end can't be
     * this attempt's and is ignored.
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

    /** Drops what is acknowledged, by whole pieces. */
    void dropAcknowledged() {
        while (!mPieces.isEmpty() && endOf(mPieces.peek()) <= mAcknowledged) {
            Frame.Data piece = mPieces.remove();
            mStart = endOf(piece);
            mTotal.add(-piece.bytes().length);
        }
    }

    /** Drops everything, once, at the end of the buffer's use. */
    void release() {
        mTotal.add(-(mEnd - mStart) - OVERHEAD_BYTES);
        mPieces.clear();
        mStart = mEnd;
    }

    /** Returns whether all output from an offset on is here. */
    boolean holdsFrom(long offset) {
        return offset >= mStart && offset <= mEnd;
    }

    /** Returns the output from an offset on, which {@link #holdsFrom} has to allow. */
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

    /** Returns the bytes that no reader has acknowledged. */
    long unacknowledgedBytes() {
        return mEnd - mAcknowledged;
    }

    private static long endOf(Frame.Data piece) {
        return piece.offset() + piece.bytes().length;
    }
}
