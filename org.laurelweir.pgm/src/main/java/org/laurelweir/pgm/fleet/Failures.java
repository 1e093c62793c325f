package org.laurelweir.pgm.fleet;

import io.grpc.Status;

/** Describes a failed call in one line, without the stack trace that gRPC puts into its texts. */
public final class Failures {
    private Failures() {}

    /**
     * Returns the status code with the root cause's message, or with its description if it has no
     * cause.
     */
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
