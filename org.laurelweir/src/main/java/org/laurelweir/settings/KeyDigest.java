package org.laurelweir.settings;

import java.nio.charset.StandardCharsets;
import java.util.HexFormat;
import org.laurelweir.lib.Sha256;

/** Computes SHA-256 digests of bearer keys, so that the settings tree contains no keys. */
public final class KeyDigest {
    private KeyDigest() {}

    /**
     * Returns the digest of a bearer key as account.key-digests lists it.
     *
     * @param key the key as the caller sends it
     * @return 64 lower-case hexadecimal digits
     */
    public static String of(String key) {
        return HexFormat.of()
                .formatHex(Sha256.newDigest().digest(key.getBytes(StandardCharsets.UTF_8)));
    }
}
