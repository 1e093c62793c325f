package org.laurelweir.router.http;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.Locale;
import org.laurelweir.lib.ResultCode;

/**
 * The JSON body of an error, in the shape that chat-completions clients read: {@code {"error":
 * {"message", "type", "code"}}}.
 */
final class ErrorBody {
    private static final ObjectMapper JSON = new ObjectMapper();

    private ErrorBody() {}

    private record Envelope(Detail error) {}

    /**
     * What went wrong.
     *
     * @param type the result code's name in lower case
     * @param code its number
     */
    private record Detail(String message, String type, int code) {}

    static byte[] of(ResultCode code, String message) {
        String type = code.name().toLowerCase(Locale.ROOT);
        try {
            return JSON.writeValueAsBytes(new Envelope(new Detail(message, type, code.number())));
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("a record of texts has a JSON form", e);
        }
    }
}
