package org.laurelweir.quarantine;

/**
 * Identifies what may have caused crashes: equal requests, independent of their request ids, or one
 * part of prompts, independent of the requests that hold it.
 *
 * @param kind what the other fields identify
 * @param account the client account of a request, or empty if the route needs no API key; it is
 *     part of the key, so that one account cannot cause the quarantine of another account's
 *     requests. Empty for a part of prompts: accounts may share it, and each {@link Crash} names
 *     them
 * @param id a request's digest of method, path, body and prompt, or the id of a part of prompts
 */
public record SuspectKey(Kind kind, String account, long id) {
    /** The kinds of suspects, with their limits. */
    public enum Kind {
        /** A whole request. */
        REQUEST(3, 8),

        /**
         * A shared part of prompts. Many unrelated requests hold it, so that more chance crashes
         * happen under it than under one request.
         */
        PROMPT_PART(4, 16);

        private final int mQuarantineCrashes;
        private final int mMaxCrashes;

        Kind(int quarantineCrashes, int maxCrashes) {
            mQuarantineCrashes = quarantineCrashes;
            mMaxCrashes = maxCrashes;
        }

        /** Returns the number of crashes without an excuse that quarantine a suspect. */
        int quarantineCrashes() {
            return mQuarantineCrashes;
        }

        /** Returns the maximum number of recorded crashes of a suspect. */
        int maxCrashes() {
            return mMaxCrashes;
        }
    }

    /** Returns the key of the requests of an account with a fingerprint. */
    public static SuspectKey request(String account, long fingerprint) {
        return new SuspectKey(Kind.REQUEST, account, fingerprint);
    }

    /** Returns the key of a part of prompts. */
    public static SuspectKey promptPart(long id) {
        return new SuspectKey(Kind.PROMPT_PART, "", id);
    }

    /** Returns whether this is a part of prompts. */
    public boolean isPromptPart() {
        return kind == Kind.PROMPT_PART;
    }

    /** Returns the id in hexadecimal, as in log entries. */
    public String idText() {
        return Long.toHexString(id);
    }

    @Override
    public String toString() {
        return (isPromptPart() ? "prompt part " : "request ") + idText();
    }
}
