package org.laurelweir.lib;

import java.time.Instant;
import java.util.List;

/**
 * A routing or placement decision with its inputs, as the decision log and {@code explain} show it.
 *
 * @param time when the decision was made
 * @param program router, sidecar or control
 * @param request the request's name
 * @param chat the chat's key, or 0
 * @param account the client account
 * @param service the service
 * @param candidates names of the considered backend servers, best first
 * @param choice the chosen backend server, or the name of the result code if none was chosen
 * @param reason the reason, one of a few fixed words
 * @param load known running work of the chosen backend server, in token units or requests; NaN if
 *     there is none
 * @param bound the load above which the backend server is not chosen; NaN if there is none
 * @param loadAgeMillis age of the load in milliseconds; NaN if it is the program's own load or was
 *     not reported
 * @param version the software version of the chosen backend server, or empty if it is unknown
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
        double loadAgeMillis,
        String version) {
    /**
     * Returns a builder of a decision that concerns no request and depends on no load.
     *
     * @param time when the decision was made
     * @param program router, sidecar or control
     */
    public static Builder builder(Instant time, String program) {
        return new Builder(time, program);
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
        private String mVersion = "";

        private Builder(Instant time, String program) {
            mTime = time;
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

        /** Sets the names of the considered backend servers, best first. */
        public Builder candidates(List<String> candidates) {
            mCandidates = candidates;
            return this;
        }

        /** Sets the choice and its reason. */
        public Builder choice(String choice, String reason) {
            mChoice = choice;
            mReason = reason;
            return this;
        }

        /** Sets the load of the choice, and the load above which it is not chosen. */
        public Builder load(double load, double bound) {
            mLoad = load;
            mBound = bound;
            return this;
        }

        /** Sets the age of the load in milliseconds. */
        public Builder loadAgeMillis(double loadAgeMillis) {
            mLoadAgeMillis = loadAgeMillis;
            return this;
        }

        /** Sets the software version of the chosen backend server. */
        public Builder version(String version) {
            mVersion = version;
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
                    mLoadAgeMillis,
                    mVersion);
        }
    }
}
