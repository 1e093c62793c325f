package org.laurelweir.errors;

import org.laurelweir.lib.ResultCode;

/** An error with a numbered result code; the message is meant for an operator or a caller. */
public class LaurelweirException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    private final ResultCode mCode;

    /**
     * Creates an error.
     *
     * @param code what went wrong, from the table in docs/CODES.md
     * @param message details for the reader
     */
    public LaurelweirException(ResultCode code, String message) {
        super(message);
        mCode = code;
    }

    /**
     * Creates an error caused by another.
     *
     * @param code what went wrong, from the table in docs/CODES.md
     * @param message details for the reader
     * @param cause the underlying failure
     */
    public LaurelweirException(ResultCode code, String message, Throwable cause) {
        super(message, cause);
        mCode = code;
    }

    public ResultCode getCode() {
        return mCode;
    }

    @Override
    public String toString() {
        return "E" + mCode.number() + " " + mCode + ": " + getMessage();
    }
}
