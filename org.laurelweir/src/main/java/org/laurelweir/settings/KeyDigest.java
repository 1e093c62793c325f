package org.laurelweir.settings;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/**
 * Computes SHA-256 digests of bearer keys, so that the settings tree contains no keys, and provides
 * the algorithm for {@link ChangeDigest}.
 */
public final class KeyDigest {
    private KeyDigest() {}

    /**
     * Returns the digest of a bearer key as account.key-digests lists it.
     *
     * @param key the key as the caller sends it
     * @return 64 lower-case hexadecimal digits
     */
    public static String of(String key) {
        return HexFormat.of().formatHex(newSha256().digest(key.getBytes(StandardCharsets.UTF_8)));
    }

    static MessageDigest newSha256() {
        try {
            return MessageDigest.getInstance("SHA-256");
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException(
                    "SHA-256 is not available, although every Java platform has to provide it", e);
        }
    }
}
