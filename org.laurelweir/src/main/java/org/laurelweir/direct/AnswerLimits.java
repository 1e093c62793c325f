package org.laurelweir.direct;

/**
 * Limits of the answers that a router holds in memory, in bytes. A faulty backend server may send
 * bytes without end; without limits a few such answers end the router with all its streams.
 *
 * @param answerBytes maximum size of an answer that is not a stream, which is held until it is
 *     complete
 * @param eventBytes maximum size of an event of a stream, or of comments between two events
 * @param totalBytes maximum of all answers that a router holds together
 */
public record AnswerLimits(long answerBytes, long eventBytes, long totalBytes) {
    /** The limits of a router whose settings name none. */
    public static final AnswerLimits DEFAULT = new AnswerLimits(8 << 20, 256 << 10, 16 << 20);
}
