package org.laurelweir.quarantine;

import org.laurelweir.attempt.AttemptRequest;

/**
 * Identifies equal requests, independent of their request ids. The client account is part of the
 * key, so that one account cannot cause the quarantine of another account's requests.
 *
 * @param account the client account, or empty if the route needs no API key
 * @param fingerprint digest of method, path and body
 */
public record RequestKey(String account, long fingerprint) {
    /** Returns the key of a request of an account. */
    public static RequestKey of(String account, AttemptRequest.Call call) {
        return new RequestKey(account, call.fingerprint());
    }

    /** Returns the fingerprint in hexadecimal, as in log entries. */
    public String fingerprintText() {
        return Long.toHexString(fingerprint);
    }
}
