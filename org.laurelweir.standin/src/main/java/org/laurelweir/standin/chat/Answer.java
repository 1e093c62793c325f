package org.laurelweir.standin.chat;

import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * The answer text of one prompt, made of tokens: the prompt's marker, the prompt's digest with the
 * token count, the index of each further token, and the marker again as the last token. A reader
 * who knows the prompt can check whether a text is the complete answer to it.
 *
 * @param marker the prompt's marker
 * @param digest the prompt's digest
 * @param tokens the token count, at least {@link #MIN_TOKENS}
 */
public record Answer(String marker, String digest, int tokens) {
    /** The smallest token count: marker, digest and marker. */
    public static final int MIN_TOKENS = 3;

    private static final Pattern HEAD = Pattern.compile("^\\[\\[[^\\[\\]]*]] [0-9a-f]+/(\\d{1,9})");

    /** Returns the answer to a prompt; a count below {@link #MIN_TOKENS} is raised to it. */
    public static Answer of(Prompt prompt, int tokens) {
        return new Answer(prompt.marker(), prompt.digest(), Math.max(MIN_TOKENS, tokens));
    }

    /** Returns the text of one token, with the space that separates it from the token before. */
    public String token(int index) {
        if (index == 0) {
            return "[[" + marker + "]]";
        }
        if (index == 1) {
            return " " + digest + "/" + tokens;
        }
        return index == tokens - 1 ? " [[" + marker + "]]" : " " + index;
    }

    /**
     * Returns the text of the tokens from index {@code from} (inclusive) to {@code to} (exclusive).
     */
    public String text(int from, int to) {
        StringBuilder all = new StringBuilder();
        for (int i = from; i < to; i++) {
            all.append(token(i));
        }
        return all.toString();
    }

    /** Returns the text of all tokens. */
    public String text() {
        return text(0, tokens);
    }

    /**
     * Checks whether a text is the complete answer to a prompt.
     *
     * @return what is wrong; empty if the text is the complete answer to this prompt
     */
    public static Optional<String> findFault(Prompt prompt, String text) {
        Matcher head = HEAD.matcher(text);
        if (!head.find()) {
            return Optional.of("no marker and digest at the begin");
        }
        int tokens = Integer.parseInt(head.group(1));
        if (!head.group().equals(new Answer(prompt.marker(), prompt.digest(), tokens).text(0, 2))) {
            return Optional.of("the answer to another prompt");
        }
        // A corrupt count could ask for a very long text. The true text is never shorter than its
        // token count, so a larger count is rejected first.
        if (tokens > text.length() || !text.equals(of(prompt, tokens).text())) {
            return Optional.of("not whole");
        }
        return Optional.empty();
    }
}
