package org.laurelweir.router.http;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.Locale;
import org.laurelweir.lib.ResultCode;

/**
 * The JSON body of an error, in the shape that chat-completions clients read: {@code {"error":
 * {"message", "type", "code"}}}.
 *
 * <p>Written without data binding, whose classes take long to load: the first error comes from a
 * router that has just started and has no settings yet, when its processor is needed for getting
 * them.
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
            throw new IllegalStateException("writing to memory does not fail", e);
        }
        return out.toByteArray();
    }
}
