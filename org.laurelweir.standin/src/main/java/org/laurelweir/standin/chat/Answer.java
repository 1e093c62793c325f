package org.laurelweir.standin.chat;

import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * The answer text that belongs to one prompt: the prompt's marker, the prompt's digest with the
 * count of tokens, the numbers of the tokens between, and the marker again. A reader who knows the
 * prompt can tell whether a text is the whole answer to it.
 *
 * @param marker the prompt's marker
 * @param digest the prompt's digest
 * @param tokens the count of tokens, at least {@link #MIN_TOKENS}
 */
public record Answer(String marker, String digest, int tokens) {
    /** Marker, digest, marker. */
    public static final int MIN_TOKENS = 3;

    private static final Pattern HEAD = Pattern.compile("^\\[\\[[^\\[\\]]*]] [0-9a-f]+/(\\d{1,9})");

    /** Returns the answer to a prompt; a count that is too small is raised to the least one. */
    public static Answer of(Prompt prompt, int tokens) {
        return new Answer(prompt.marker(), prompt.digest(), Math.max(MIN_TOKENS, tokens));
    }

    /** Returns the text of one token, with the space that parts it from the one before. */
    public String token(int index) {
        if (index == 0) {
            return "[[" + marker + "]]";
        }
        if (index == 1) {
            return " " + digest + "/" + tokens;
        }
        return index == tokens - 1 ? " [[" + marker + "]]" : " " + index;
    }

    /** Returns the text of the tokens from one index up to, and without, another. */
    public String text(int from, int to) {
        StringBuilder all = new StringBuilder();
        for (int i = from; i < to; i++) {
            all.append(token(i));
        }
        return all.toString();
    }

    /** Returns the whole text. */
    public String text() {
        return text(0, tokens);
    }

    /**
     * Checks a text against the prompt it should answer.
     *
     * @return what is wrong, or nothing if the text is the whole answer to this prompt
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
        // A wrong count could ask for a very long text; the true one is never shorter than its
        // count.
        if (tokens > text.length() || !text.equals(of(prompt, tokens).text())) {
            return Optional.of("not whole");
        }
        return Optional.empty();
    }
}
