package org.laurelweir.answer;

import java.util.ArrayList;
import java.util.List;
import org.laurelweir.attempt.Header;

/**
 * The header that tells a caller what ended the backend server's answer. The router sends every
 * answer with a length or in chunks, which says more than it knows about an answer that had
 * neither.
 */
public final class EndHeader {
    /** The name of the header. Answers that prove their end come without it. */
    public static final String NAME = "X-Answer-End";

    /** The value for an answer that only the end of its connection ended. */
    public static final String CONNECTION = "connection";

    private EndHeader() {}

    /** Returns the headers of an answer with the right header of this name, or without one. */
    public static List<Header> applyTo(List<Header> headers, BodyFraming framing) {
        List<Header> applied = new ArrayList<>(headers);
        applied.removeIf(h -> h.name().equalsIgnoreCase(NAME));
        if (!framing.provesEnd()) {
            applied.add(new Header(NAME, CONNECTION));
        }
        return applied;
    }
}
