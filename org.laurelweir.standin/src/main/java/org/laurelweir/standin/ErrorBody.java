package org.laurelweir.standin;

import java.util.Locale;
import org.laurelweir.lib.ResultCode;

/** The JSON body of an error, in the shape that chat-completions clients read. */
public record ErrorBody(Detail error) {
    /**
     * The details of an error.
     *
     * @param code the name of the result code in lower case
     */
    public record Detail(String message, String type, String param, String code) {}

    private static final int MIN_SERVER_ERROR_STATUS = 500;

    /** Returns the error body for a result code. */
    public static ErrorBody of(ResultCode code, String message) {
        boolean isServerError = code.httpStatus() >= MIN_SERVER_ERROR_STATUS;
        String type = isServerError ? "server_error" : "invalid_request_error";
        return new ErrorBody(new Detail(message, type, null, code.name().toLowerCase(Locale.ROOT)));
    }
}
