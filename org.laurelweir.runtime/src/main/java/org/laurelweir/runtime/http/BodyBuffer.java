package org.laurelweir.runtime.http;

import io.netty.buffer.ByteBuf;
import java.util.ArrayList;
import java.util.List;

/**
 * Collects the body of a request. Holds each byte once, as long as its length was announced; other
 * bodies in blocks, however small the pieces are in which they come.
 */
public final class BodyBuffer {
    private static final int BLOCK_BYTES = 16 << 10;

    private final int mAnnouncedBytes;
    private final List<byte[]> mBlocks = new ArrayList<>();
    private byte[] mAnnounced = {};
    private int mSize;

    /**
     * Creates an empty buffer.
     *
     * @param announcedBytes the length of the body, or 0 if it is not known
     */
    public BodyBuffer(int announcedBytes) {
        mAnnouncedBytes = announcedBytes;
    }

    /** Returns the number of bytes that were added. */
    public int size() {
        return mSize;
    }

    /**
     * Returns the memory that the body needs, in bytes. A body without an announced size needs
     * whole blocks, and may grow to the limit once it is not small.
     *
     * @param size how much of the body has come
     * @param maxBytes the limit
     */
    public long memoryFor(long size, long maxBytes) {
        if (mAnnouncedBytes > 0) {
            return mAnnouncedBytes;
        }
        if (size > RequestMemory.SMALL_BYTES) {
            return Math.max(size, maxBytes);
        }
        return (size + BLOCK_BYTES - 1) / BLOCK_BYTES * BLOCK_BYTES;
    }

    /** Adds a piece of the body. The pieces must not exceed the announced length. */
    public void add(ByteBuf piece) {
        if (mAnnouncedBytes > 0) {
            addToAnnounced(piece);
            return;
        }
        while (piece.isReadable()) {
            addToBlock(piece);
        }
    }

    private void addToAnnounced(ByteBuf piece) {
        if (mSize == 0) {
            mAnnounced = new byte[mAnnouncedBytes];
        }
        int length = piece.readableBytes();
        piece.readBytes(mAnnounced, mSize, length);
        mSize += length;
    }

    private void addToBlock(ByteBuf piece) {
        int offset = mSize % BLOCK_BYTES;
        if (offset == 0) {
            mBlocks.add(new byte[BLOCK_BYTES]);
        }
        int length = Math.min(BLOCK_BYTES - offset, piece.readableBytes());
        piece.readBytes(mBlocks.get(mBlocks.size() - 1), offset, length);
        mSize += length;
    }

    /** Returns the complete body. */
    public byte[] toBytes() {
        if (mSize == mAnnounced.length) {
            return mAnnounced;
        }
        byte[] body = new byte[mSize];
        int end = 0;
        for (byte[] block : mBlocks) {
            int length = Math.min(BLOCK_BYTES, mSize - end);
            System.arraycopy(block, 0, body, end, length);
            end += length;
        }
        return body;
    }
}
