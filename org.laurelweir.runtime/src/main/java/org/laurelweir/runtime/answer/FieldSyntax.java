package org.laurelweir.runtime.answer;

import java.util.BitSet;

/** The characters that names, values and other texts in an answer may hold (RFC 9110, 5). */
final class FieldSyntax {
    private static final String TOKEN_MARKS = "!#$%&'*+-.^_`|~";
    private static final char DELETE = 0x7F;
    private static final BitSet TOKEN = token();

    private FieldSyntax() {}

    private static BitSet token() {
        BitSet token = new BitSet();
        token.set('0', '9' + 1);
        token.set('A', 'Z' + 1);
        token.set('a', 'z' + 1);
        TOKEN_MARKS.chars().forEach(token::set);
        return token;
    }

    /**
     * Checks that a text may be the name of a field.
     *
     * @throws MalformedAnswerException if it may not
     */
    static void checkName(String name) {
        if (name.isEmpty()) {
            throw new MalformedAnswerException("the name of a field is empty");
        }
        for (int i = 0; i < name.length(); i++) {
            if (!TOKEN.get(name.charAt(i))) {
                throw malformed("the name of a field", name.charAt(i));
            }
        }
    }

    /**
     * Checks that a text may be the value of a field, or a part of another line: it holds no
     * control character but tabs.
     *
     * @throws MalformedAnswerException if it may not
     */
    static void checkText(String text) {
        for (int i = 0; i < text.length(); i++) {
            char c = text.charAt(i);
            if (c < ' ' && c != '\t' || c == DELETE) {
                throw malformed("a line", c);
            }
        }
    }

    private static MalformedAnswerException malformed(String where, char c) {
        return new MalformedAnswerException(where + " holds the byte 0x" + Integer.toHexString(c));
    }

    /** Returns whether a character separates words within a line. */
    static boolean isBlank(char c) {
        return c == ' ' || c == '\t';
    }

    /** Returns a text without the blanks around it. */
    static String trim(String text) {
        int start = 0;
        int end = text.length();
        while (start < end && isBlank(text.charAt(start))) {
            start++;
        }
        while (end > start && isBlank(text.charAt(end - 1))) {
            end--;
        }
        return text.substring(start, end);
    }
}
