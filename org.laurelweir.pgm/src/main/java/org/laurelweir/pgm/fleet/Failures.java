package org.laurelweir.pgm.fleet;

import io.grpc.Status;

/** Describes failed calls in a line, without the stack trace that gRPC puts into its texts. */
public final class Failures {
    private Failures() {}

    /** Returns the status, and the innermost cause's message where there is one. */
    public static String describe(Throwable failure) {
        Status status = Status.fromThrowable(failure);
        Throwable cause = status.getCause();
        if (cause == null) {
            String description = status.getDescription();
            return status.getCode() + (description == null ? "" : " " + description);
        }
        while (cause.getCause() != null) {
            cause = cause.getCause();
        }
        return status.getCode() + " " + cause.getMessage();
    }
}
