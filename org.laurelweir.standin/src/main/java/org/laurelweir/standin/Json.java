package org.laurelweir.standin;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.IOException;
import org.laurelweir.errors.LaurelweirException;
import org.laurelweir.lib.ResultCode;

/** Reads and writes the JSON of the stand-ins. Unknown fields are ignored. */
public final class Json {
    private static final ObjectMapper MAPPER =
            JsonMapper.builder().disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES).build();

    private Json() {}

    /**
     * Reads one value.
     *
     * @param bytes UTF-8 JSON
     * @param type the record to read
     * @return the value, never null
     * @throws LaurelweirException with {@code BAD_REQUEST} if the bytes are not a JSON value of
     *     this type
     */
    public static <T> T read(byte[] bytes, Class<T> type) {
        try {
            T value = MAPPER.readValue(bytes, type);
            if (value == null) {
                throw new LaurelweirException(ResultCode.BAD_REQUEST, "the JSON value is null");
            }
            return value;
        } catch (IOException e) {
            throw new LaurelweirException(ResultCode.BAD_REQUEST, e.getMessage(), e);
        }
    }

    /** Returns a value as JSON on one line. */
    public static String write(Object value) {
        try {
            return MAPPER.writeValueAsString(value);
        } catch (JsonProcessingException e) {
            throw new LaurelweirException(ResultCode.INTERNAL, e.getMessage(), e);
        }
    }
}
