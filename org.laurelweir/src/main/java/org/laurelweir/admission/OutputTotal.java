package org.laurelweir.admission;

/** Counts the bytes of output that all attempts hold together. */
final class OutputTotal {
    private long mBytes;

    void add(long bytes) {
        mBytes += bytes;
    }

    long bytes() {
        return mBytes;
    }
}
