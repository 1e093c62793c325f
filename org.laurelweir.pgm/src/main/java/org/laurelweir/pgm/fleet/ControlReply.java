package org.laurelweir.pgm.fleet;

import org.laurelweir.lib.ResultCode;

/**
 * The parts that replies of control instances share.
 *
 * @param code the outcome
 * @param message details, or empty
 * @param leader host:port of the instance that leads as far as the answering one knows, or empty
 */
record ControlReply(ResultCode code, String message, String leader) {
    static ControlReply of(int code, String message, String leader) {
        return new ControlReply(ResultCode.of(code), message, leader);
    }

    /** Returns whether another instance, or the same one later, may give a better answer. */
    boolean isRetryable() {
        return switch (code) {
            case NOT_LEADER, NO_QUORUM, POSSIBLY_STALE -> true;
            default -> false;
        };
    }
}
