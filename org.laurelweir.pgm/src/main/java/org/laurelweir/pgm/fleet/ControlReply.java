package org.laurelweir.pgm.fleet;

import org.laurelweir.lib.ResultCode;

/**
 * The fields that all replies of control instances have in common.
 *
 * @param code the outcome
 * @param message details, or empty
 * @param leader the leader's address, host:port, as the answering instance knows it, or empty
 */
record ControlReply(ResultCode code, String message, String leader) {
    static ControlReply of(int code, String message, String leader) {
        return new ControlReply(ResultCode.of(code), message, leader);
    }

    /** Returns whether another instance, or the same one later, may answer successfully. */
    boolean isRetryable() {
        return switch (code) {
            case NOT_LEADER, NO_QUORUM, POSSIBLY_STALE -> true;
            default -> false;
        };
    }
}
