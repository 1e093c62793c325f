package org.laurelweir.attempt;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import net.openhft.hashing.LongHashFunction;
import org.laurelweir.lib.AttemptId;
import org.laurelweir.lib.BackendRef;

/**
 * A router's request to a sidecar to run an attempt.
 *
 * @param id id of the attempt, repeated in every frame
 * @param target the incarnation of the sidecar that has to run it; another incarnation refuses
 * @param account the client account
 * @param service the service of the backend server
 * @param chat the chat's key, or 0 if the request belongs to no chat
 * @param returning whether the chat has earlier turns
 * @param call the HTTP call to make
 * @param idempotent whether the call may run twice without harm
 * @param idempotencyKey the caller's idempotency key, or empty
 * @param timeLeft time from sending until the caller's deadline
 * @param priority higher priorities go first
 * @param cost the expected cost of the call
 * @param redirects how many sidecars have redirected the request before
 * @param accountWeight the client account's share relative to competing accounts
 * @param outputKeepTime how long the finished output is kept for a resend
 */
public record AttemptRequest(
        AttemptId id,
        BackendRef target,
        String account,
        String service,
        long chat,
        boolean returning,
        Call call,
        boolean idempotent,
        String idempotencyKey,
        Duration timeLeft,
        int priority,
        Cost cost,
        int redirects,
        double accountWeight,
        Duration outputKeepTime) {

    /**
     * Returns a builder of a request. By default the request is idempotent, belongs to no chat and
     * has priority 0.
     *
     * @param id id of the attempt
     * @param target the incarnation of the sidecar that has to run it
     */
    public static Builder builder(AttemptId id, BackendRef target) {
        return new Builder(id, target);
    }

    /** Returns this request without its body, for a process that has already sent the body. */
    public AttemptRequest withoutBody() {
        Call withoutBody =
                new Call(call.method(), call.path(), call.headers(), new byte[0], call.streamed());
        return toBuilder().call(withoutBody).build();
    }

    private Builder toBuilder() {
        return builder(id, target)
                .account(account, accountWeight)
                .service(service)
                .chat(chat, returning)
                .call(call)
                .idempotent(idempotent)
                .idempotencyKey(idempotencyKey)
                .timeLeft(timeLeft)
                .priority(priority)
                .cost(cost)
                .redirects(redirects)
                .outputKeepTime(outputKeepTime);
    }

    /**
     * An HTTP call to a backend server.
     *
     * @param method the HTTP method
     * @param path path and query
     * @param headers the headers to send
     * @param body the complete body
     * @param streamed whether the answer is requested as a stream of events
     */
    public record Call(
            String method, String path, List<Header> headers, byte[] body, boolean streamed) {
        private static final LongHashFunction XXH3 = LongHashFunction.xx3();
        private static final byte SEPARATOR = 0;

        /**
         * Returns a hash of the method, the path and the body, which identifies the effect of the
         * call.
         */
        public long fingerprint() {
            byte[] methodAndPath = (method + ' ' + path).getBytes(StandardCharsets.UTF_8);
            byte[] bytes = new byte[methodAndPath.length + 1 + body.length];
            System.arraycopy(methodAndPath, 0, bytes, 0, methodAndPath.length);
            bytes[methodAndPath.length] = SEPARATOR;
            System.arraycopy(body, 0, bytes, methodAndPath.length + 1, body.length);
            return XXH3.hashBytes(bytes);
        }
    }

    /**
     * The expected cost of a call.
     *
     * @param promptTokens tokens of the prompt, cached or not
     * @param outputTokens tokens that will be generated; 0 if unknown
     */
    public record Cost(int promptTokens, int outputTokens) {}

    /** Builds an {@link AttemptRequest}. */
    public static final class Builder {
        /** The longest deadline that a caller can set. */
        private static final Duration MAX_TIME_LEFT = Duration.ofHours(1);

        private final AttemptId mId;
        private final BackendRef mTarget;
        private String mAccount = "";
        private double mAccountWeight = 1;
        private String mService = "";
        private long mChat;
        private boolean mReturning;
        private Call mCall = new Call("GET", "/", List.of(), new byte[0], false);
        private boolean mIdempotent = true;
        private String mIdempotencyKey = "";
        private Duration mTimeLeft = MAX_TIME_LEFT;
        private int mPriority;
        private Cost mCost = new Cost(0, 0);
        private int mRedirects;
        private Duration mOutputKeepTime = Duration.ZERO;

        private Builder(AttemptId id, BackendRef target) {
            mId = id;
            mTarget = target;
        }

        /** Sets the client account and its share relative to competing accounts. */
        public Builder account(String account, double weight) {
            mAccount = account;
            mAccountWeight = weight;
            return this;
        }

        /** Sets the service of the backend server. */
        public Builder service(String service) {
            mService = service;
            return this;
        }

        /** Sets the chat's key, or 0 for none, and whether the chat has earlier turns. */
        public Builder chat(long chat, boolean returning) {
            mChat = chat;
            mReturning = returning;
            return this;
        }

        /** Sets the HTTP call to make. */
        public Builder call(Call call) {
            mCall = call;
            return this;
        }

        /** Sets whether the call may run twice without harm. */
        public Builder idempotent(boolean idempotent) {
            mIdempotent = idempotent;
            return this;
        }

        /** Sets the caller's idempotency key, or empty for none. */
        public Builder idempotencyKey(String key) {
            mIdempotencyKey = key;
            return this;
        }

        /** Sets the time from sending until the caller's deadline. */
        public Builder timeLeft(Duration left) {
            mTimeLeft = left;
            return this;
        }

        /** Sets the priority. Higher priorities go first. */
        public Builder priority(int priority) {
            mPriority = priority;
            return this;
        }

        /** Sets the expected cost of the call. */
        public Builder cost(Cost cost) {
            mCost = cost;
            return this;
        }

        /** Sets how many sidecars have redirected the request before. */
        public Builder redirects(int redirects) {
            mRedirects = redirects;
            return this;
        }

        /** Sets how long the finished output is kept for a resend. */
        public Builder outputKeepTime(Duration keepTime) {
            mOutputKeepTime = keepTime;
            return this;
        }

        /** Returns the request. */
        public AttemptRequest build() {
            return new AttemptRequest(
                    mId,
                    mTarget,
                    mAccount,
                    mService,
                    mChat,
                    mReturning,
                    mCall,
                    mIdempotent,
                    mIdempotencyKey,
                    mTimeLeft,
                    mPriority,
                    mCost,
                    mRedirects,
                    mAccountWeight,
                    mOutputKeepTime);
        }
    }
}
