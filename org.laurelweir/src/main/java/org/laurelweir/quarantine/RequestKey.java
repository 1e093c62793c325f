package org.laurelweir.quarantine;

import org.laurelweir.attempt.AttemptRequest;

/**
 * What makes two requests the same, whatever ids they come under. The client account is part of it,
 * so that nobody can have another account's requests refused.
 *
 * @param account the client account, or empty where the route needs no key
 * @param fingerprint digest of method, path and body
 */
public record RequestKey(String account, long fingerprint) {
    /** Returns the key of an account's call. */
    public static RequestKey of(String account, AttemptRequest.Call call) {
        return new RequestKey(account, call.fingerprint());
    }

    /** Returns the fingerprint as logs give it. */
    public String fingerprintText() {
        return Long.toHexString(fingerprint);
    }
}
