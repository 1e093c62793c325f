package org.laurelweir.admission;

/** Counts the bytes that the output buffers of all attempts hold together. */
final class OutputTotal {
    private long mBytes;

    void add(long bytes) {
        mBytes += bytes;
    }

    long bytes() {
        return mBytes;
    }
}
