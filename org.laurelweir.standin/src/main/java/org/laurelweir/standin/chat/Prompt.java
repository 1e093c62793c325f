package org.laurelweir.standin.chat;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * The messages of a call as one text. A longer history of the same chat has the shorter one as its
 * prefix, and a prompt with its answer appended is a prefix of the next turn's prompt.
 *
 * @param text the messages, one after the other
 * @param marker the text between the last double brackets in the last user message; empty if there
 *     are none
 */
public record Prompt(String text, String marker) {
    private static final Pattern MARKER = Pattern.compile("\\[\\[([^\\[\\]]*)]]");
    private static final String USER = "user";
    private static final String ASSISTANT = "assistant";
    private static final int DIGEST_BYTES = 8;

    /** Returns the prompt of a call's messages. */
    public static Prompt of(List<ChatMessage> messages) {
        StringBuilder all = new StringBuilder();
        String marker = "";
        for (ChatMessage m : messages) {
            String text = m.text();
            all.append(render(m.role(), text));
            if (USER.equals(m.role())) {
                marker = lastMarker(text);
            }
        }
        return new Prompt(all.toString(), marker);
    }

    /**
     * Returns the text of this prompt and its answer, in the form that the next turn's prompt has.
     */
    public String withAnswer(String answer) {
        return text + render(ASSISTANT, answer);
    }

    /** Returns the first 8 bytes of the text's SHA-256 digest, in hexadecimal. */
    public String digest() {
        return digest(text.getBytes(StandardCharsets.UTF_8));
    }

    /** Returns the first 8 bytes of the SHA-256 digest of some bytes, in hexadecimal. */
    public static String digest(byte[] bytes) {
        try {
            byte[] all = MessageDigest.getInstance("SHA-256").digest(bytes);
            return HexFormat.of().formatHex(all, 0, DIGEST_BYTES);
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException(e);
        }
    }

    private static String render(String role, String text) {
        return role + ": " + text + "\n";
    }

    private static String lastMarker(String text) {
        Matcher m = MARKER.matcher(text);
        String last = "";
        while (m.find()) {
            last = m.group(1);
        }
        return last;
    }
}
