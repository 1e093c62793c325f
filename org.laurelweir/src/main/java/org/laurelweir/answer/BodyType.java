package org.laurelweir.answer;

import java.util.List;
import java.util.Locale;
import org.laurelweir.attempt.Header;

/** What an answer's headers say of its body. */
public enum BodyType {
    /** A stream of events. */
    EVENTS,

    /** A JSON text. */
    JSON,

    /** There is no content type. */
    UNKNOWN,

    /** Anything else, or a body that is compressed and can't be judged by its bytes. */
    OTHER;

    private static final String CONTENT_TYPE = "Content-Type";
    private static final String CONTENT_ENCODING = "Content-Encoding";
    private static final String NOT_ENCODED = "identity";
    private static final String EVENT_STREAM_TYPE = "text/event-stream";
    private static final String JSON_TYPE = "application/json";
    private static final String JSON_SUFFIX = "+json";

    /** Returns the type of the body of an answer with the given headers. */
    public static BodyType of(List<Header> headers) {
        String encoding = value(headers, CONTENT_ENCODING);
        if (!encoding.isEmpty() && !encoding.equals(NOT_ENCODED)) {
            return OTHER;
        }
        if (isEventStream(headers)) {
            return EVENTS;
        }
        String type = mediaType(headers);
        if (type.isEmpty()) {
            return UNKNOWN;
        }
        return type.equals(JSON_TYPE) || type.endsWith(JSON_SUFFIX) ? JSON : OTHER;
    }

    /** Returns whether the body is a stream of events, compressed or not. */
    public static boolean isEventStream(List<Header> headers) {
        return mediaType(headers).equals(EVENT_STREAM_TYPE);
    }

    /** Returns the content type without its parameters, or empty. */
    private static String mediaType(List<Header> headers) {
        return value(headers, CONTENT_TYPE).split(";", 2)[0].strip();
    }

    private static String value(List<Header> headers, String name) {
        return headers.stream()
                .filter(h -> h.name().equalsIgnoreCase(name))
                .map(h -> h.value().strip().toLowerCase(Locale.ROOT))
                .findFirst()
                .orElse("");
    }
}
