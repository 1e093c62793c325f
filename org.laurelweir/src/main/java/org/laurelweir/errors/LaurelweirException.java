package org.laurelweir.errors;

import org.laurelweir.lib.ResultCode;

/** An error with a numbered result code and a message for an operator or a caller. */
public class LaurelweirException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    private final ResultCode mCode;

    /**
     * Creates an error.
     *
     * @param code the result code, from the table in docs/CODES.md
     * @param message a description for the operator or caller
     */
    public LaurelweirException(ResultCode code, String message) {
        super(message);
        mCode = code;
    }

    /**
     * Creates an error that was caused by another exception.
     *
     * @param code the result code, from the table in docs/CODES.md
     * @param message a description for the operator or caller
     * @param cause the underlying failure
     */
    public LaurelweirException(ResultCode code, String message, Throwable cause) {
        super(message, cause);
        mCode = code;
    }

    /** Returns the result code. */
    public ResultCode getCode() {
        return mCode;
    }

    /** Returns the code's number and name, followed by the message. */
    @Override
    public String toString() {
        return "E" + mCode.number() + " " + mCode + ": " + getMessage();
    }
}
