package org.laurelweir.router;

import org.laurelweir.errors.LaurelweirException;
import org.laurelweir.lib.ResultCode;

/** Checks at the start that what a router may hold for callers and servers fits its heap. */
final class MemoryCheck {
    /** Share of the heap for bodies and answers; the rest is for state and for work in progress. */
    private static final double MAX_SHARE = 0.75;

    private MemoryCheck() {}

    /**
     * Checks the bounds of a router's settings file.
     *
     * @param file the settings file
     * @param heapBytes maximum size of the heap
     * @throws LaurelweirException BAD_SETTINGS_FILE if the bounds exceed three quarters of the heap
     */
    static void check(RouterFile file, long heapBytes) {
        // Answers are bounded twice: as long as they are incomplete, and until callers take them.
        long needed = file.requestMemory().bytes() + 2 * file.answerMemory().bytes();
        if (needed > MAX_SHARE * heapBytes) {
            throw new LaurelweirException(
                    ResultCode.BAD_SETTINGS_FILE,
                    "request-memory and twice answer-memory are "
                            + needed
                            + " bytes, more than three quarters of the heap of "
                            + heapBytes
                            + " bytes");
        }
    }
}
