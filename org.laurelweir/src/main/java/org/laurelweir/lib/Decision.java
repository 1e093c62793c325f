package org.laurelweir.lib;

import java.time.Instant;
import java.util.List;

/**
 * One routing or placement decision with its inputs, as the log line and {@code explain} show it.
 *
 * @param time when it was taken
 * @param program router, sidecar or control
 * @param request the request's name
 * @param chat the chat's key, or 0
 * @param account the client account
 * @param service the service
 * @param candidates backend servers that were considered, best first
 * @param choice the chosen one, or the result code's name where none was
 * @param reason why, one of a few fixed words
 * @param load running work beside the choice as known, in token units, or requests; NaN without one
 * @param bound the load above which the choice would not have been taken; NaN without one
 * @param loadAgeMillis how long ago the choice told its load, in milliseconds; NaN where the load
 *     is the program's own or nothing was told
 */
public record Decision(
        Instant time,
        String program,
        String request,
        long chat,
        String account,
        String service,
        List<String> candidates,
        String choice,
        String reason,
        double load,
        double bound,
        double loadAgeMillis) {
    /**
     * Returns a builder of a decision that concerns no request and goes by no load.
     *
     * @param time when it was taken
     * @param program router, sidecar or control
     */
    public static Builder builder(Instant at, String program) {
        return new Builder(at, program);
    }

    /** Builds a {@link Decision}. */
    public static final class Builder {
        private final Instant mTime;
        private final String mProgram;
        private String mRequest = "";
        private long mChat;
        private String mAccount = "";
        private String mService = "";
        private List<String> mCandidates = List.of();
        private String mChoice = "";
        private String mReason = "";
        private double mLoad = Double.NaN;
        private double mBound = Double.NaN;
        private double mLoadAgeMillis = Double.NaN;

        private Builder(Instant at, String program) {
            mTime = at;
            mProgram = program;
        }

        /** Sets the request's name. */
        public Builder request(String request) {
            mRequest = request;
            return this;
        }

        /** Sets the chat's key. */
        public Builder chat(long chat) {
            mChat = chat;
            return this;
        }

        /** Sets the client account. */
        public Builder account(String account) {
            mAccount = account;
            return this;
        }

        /** Sets the service. */
        public Builder service(String service) {
            mService = service;
            return this;
        }

        /** Sets the backend servers that were considered, best first. */
        public Builder candidates(List<String> candidates) {
            mCandidates = candidates;
            return this;
        }

        /** Sets what was chosen, and why. */
        public Builder choice(String choice, String reason) {
            mChoice = choice;
            mReason = reason;
            return this;
        }

        /** Sets the choice's load, and the load above which it would not have been taken. */
        public Builder load(double load, double bound) {
            mLoad = load;
            mBound = bound;
            return this;
        }

        /** Sets how long ago the load was told. */
        public Builder loadAgeMillis(double loadAgeMillis) {
            mLoadAgeMillis = loadAgeMillis;
            return this;
        }

        /** Returns the decision. */
        public Decision build() {
            return new Decision(
                    mTime,
                    mProgram,
                    mRequest,
                    mChat,
                    mAccount,
                    mService,
                    mCandidates,
                    mChoice,
                    mReason,
                    mLoad,
                    mBound,
                    mLoadAgeMillis);
        }
    }
}
