package org.laurelweir.lib;

import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;

/** Provides the SHA-256 algorithm. */
public final class Sha256 {
    private Sha256() {}

    /** Returns a new computation of a digest. */
    public static MessageDigest newDigest() {
        try {
            return MessageDigest.getInstance("SHA-256");
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException(
                    "SHA-256 is not available, although every Java platform has to provide it", e);
        }
    }
}
