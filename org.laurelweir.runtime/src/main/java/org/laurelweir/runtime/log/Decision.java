package org.laurelweir.runtime.log;

import java.util.List;

/**
 * What was decided and from what, for one line of the log. A text that does not apply is null, a
 * number that does not apply is NaN.
 *
 * @param kind who decided
 * @param request the request's name
 * @param chat the chat's name
 * @param account the client account's name
 * @param candidates the backend servers weighed, best first
 * @param choice the backend server chosen
 * @param reason why this one, or why none
 * @param load the load of the choice at that moment
 * @param bound the load above which the choice would have been passed over, in the load's unit
 */
public record Decision(
        Kind kind,
        String request,
        String chat,
        String account,
        List<String> candidates,
        String choice,
        String reason,
        double load,
        double bound) {

    /** Who decided. */
    public enum Kind {
        /** A router chose where to send a request. */
        ROUTING,
        /** A sidecar admitted, queued, redirected or refused a request, or moved a chat. */
        PLACEMENT
    }

    /** Starts a decision of a kind; everything else is absent until it is set. */
    public static Builder builder(Kind kind) {
        return new Builder(kind);
    }

    /** Collects a decision's parts. */
    public static final class Builder {
        private final Kind mKind;
        private String mRequest;
        private String mChat;
        private String mAccount;
        private List<String> mCandidates = List.of();
        private String mChoice;
        private String mReason;
        private double mLoad = Double.NaN;
        private double mBound = Double.NaN;

        private Builder(Kind kind) {
            mKind = kind;
        }

        /** Names the request and the client account it belongs to. */
        public Builder request(String request, String account) {
            mRequest = request;
            mAccount = account;
            return this;
        }

        /** Names the chat. */
        public Builder chat(String chat) {
            mChat = chat;
            return this;
        }

        /** Lists the backend servers weighed, best first. */
        public Builder candidates(List<String> candidates) {
            mCandidates = List.copyOf(candidates);
            return this;
        }

        /** Names the backend server chosen, null for none, and why. */
        public Builder choice(String choice, String reason) {
            mChoice = choice;
            mReason = reason;
            return this;
        }

        /** Gives the load of the choice and the load that was its limit. */
        public Builder load(double load, double bound) {
            mLoad = load;
            mBound = bound;
            return this;
        }

        /** Returns the decision. */
        public Decision build() {
            return new Decision(
                    mKind, mRequest, mChat, mAccount, mCandidates, mChoice, mReason, mLoad, mBound);
        }
    }
}
