package org.laurelweir.runtime.answer;

/** Thrown for bytes of a server that are not an HTTP answer. The message holds none of them. */
final class MalformedAnswerException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    MalformedAnswerException(String message) {
        super(message);
    }
}
