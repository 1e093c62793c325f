package org.laurelweir.router.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import java.util.ArrayList;
import java.util.List;

/** Collects the body of a request. Holds each byte once, as long as its length was announced. */
final class BodyBuffer {
    private final byte[] mAnnounced;
    private final List<byte[]> mPieces = new ArrayList<>();
    private int mSize;

    /**
     * Creates an empty buffer.
     *
     * @param announcedBytes the length of the body, or 0 if it is not known
     */
    BodyBuffer(int announcedBytes) {
        mAnnounced = new byte[announcedBytes];
    }

    int size() {
        return mSize;
    }

    /** Adds a piece of the body. The pieces must not exceed the announced length. */
    void add(ByteBuf piece) {
        int length = piece.readableBytes();
        if (length == 0) {
            return;
        }
        if (mAnnounced.length > 0) {
            piece.readBytes(mAnnounced, mSize, length);
        } else {
            mPieces.add(ByteBufUtil.getBytes(piece));
        }
        mSize += length;
    }

    /** Returns the complete body. */
    byte[] toBytes() {
        if (mSize == mAnnounced.length) {
            return mAnnounced;
        }
        byte[] body = new byte[mSize];
        int end = 0;
        for (byte[] piece : mPieces) {
            System.arraycopy(piece, 0, body, end, piece.length);
            end += piece.length;
        }
        return body;
    }
}
