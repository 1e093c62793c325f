package org.laurelweir.answer;

/** What tells the end of an answer's body (RFC 9112, 6.3). */
public enum BodyFraming {
    /** The length that the head gives, or a status or method without a body. */
    LENGTH,

    /** The last chunk. */
    CHUNKS,

    /**
     * The end of the connection. A server that crashes ends its connections too, so the end of the
     * connection does not prove that the body is complete.
     */
    CONNECTION;

    /** Returns whether the server itself told the end of the body. */
    public boolean provesEnd() {
        return this != CONNECTION;
    }
}
