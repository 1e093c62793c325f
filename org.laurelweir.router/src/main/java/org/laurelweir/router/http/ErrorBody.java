package org.laurelweir.router.http;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.Locale;
import org.laurelweir.lib.ResultCode;

/**
 * The JSON body of an error in the format of chat-completions clients: {@code {"error": {"message",
 * "type", "code"}}}.
 *
 * <p>It is written without data binding, whose classes take long to load. The first errors are sent
 * by a router that has just started and still waits for its settings, which should not be delayed.
 */
final class ErrorBody {
    private static final JsonFactory JSON = new JsonFactory();

    private ErrorBody() {}

    static byte[] of(ResultCode code, String message) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        try (JsonGenerator json = JSON.createGenerator(out)) {
            json.writeStartObject();
            json.writeObjectFieldStart("error");
            json.writeStringField("message", message);
            json.writeStringField("type", code.name().toLowerCase(Locale.ROOT));
            json.writeNumberField("code", code.number());
            json.writeEndObject();
            json.writeEndObject();
        } catch (IOException e) {
            throw new IllegalStateException("can't write JSON to memory", e);
        }
        return out.toByteArray();
    }
}
