package org.laurelweir.standin;

import java.util.Locale;
import org.laurelweir.lib.ResultCode;

/** The JSON body of an error, in the shape that chat-completions clients read. */
public record ErrorBody(Detail error) {
    /** What went wrong. */
    public record Detail(String message, String type, String param, String code) {}

    private static final int FIRST_SERVER_STATUS = 500;

    /** Returns the body for a result code. */
    public static ErrorBody of(ResultCode code, String message) {
        boolean ours = code.httpStatus() >= FIRST_SERVER_STATUS;
        String type = ours ? "server_error" : "invalid_request_error";
        return new ErrorBody(new Detail(message, type, null, code.name().toLowerCase(Locale.ROOT)));
    }
}
