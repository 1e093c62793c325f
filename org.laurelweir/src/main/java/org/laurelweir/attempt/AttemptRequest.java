package org.laurelweir.attempt;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import net.openhft.hashing.LongHashFunction;
import org.laurelweir.lib.AttemptId;
import org.laurelweir.lib.BackendRef;

/**
 * What a router asks a sidecar to run.
 *
 * @param id names the attempt in every frame
 * @param target the run of the sidecar that the router means; another run refuses
 * @param account the client account
 * @param service the service of the backend server
 * @param chat the chat's key, or 0 where the request belongs to none
 * @param returning whether the chat has earlier turns
 * @param call the HTTP call to make
 * @param idempotent whether running the call twice is harmless
 * @param idempotencyKey the caller's key, or empty
 * @param timeLeft until the caller's deadline, as of sending
 * @param priority higher goes first
 * @param cost what the router expects the call to spend
 * @param redirects how many sidecars have passed the request on before
 * @param accountWeight the client account's share when accounts compete
 * @param outputKeepTime how long the finished output stays available to a resend
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
     * Returns a builder of a request that is idempotent, of no chat, and not urgent.
     *
     * @param id names the attempt
     * @param target the run of the sidecar that the router means
     */
    public static Builder builder(AttemptId id, BackendRef target) {
        return new Builder(id, target);
    }

    /** Returns this request without its body, for a process that has passed the body on. */
    public AttemptRequest withoutBody() {
        Call bare =
                new Call(call.method(), call.path(), call.headers(), new byte[0], call.streamed());
        return toBuilder().call(bare).build();
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
     * An HTTP call on a backend server.
     *
     * @param method the HTTP method
     * @param path path and query
     * @param headers those to pass on
     * @param body the whole body
     * @param streamed whether the answer is wanted as a stream of events
     */
    public record Call(
            String method, String path, List<Header> headers, byte[] body, boolean streamed) {
        private static final LongHashFunction XXH3 = LongHashFunction.xx3();
        private static final byte SEPARATOR = 0;

        /** Returns a digest of what the call does: of its method, path and body. */
        public long fingerprint() {
            byte[] start = (method + ' ' + path).getBytes(StandardCharsets.UTF_8);
            byte[] all = new byte[start.length + 1 + body.length];
            System.arraycopy(start, 0, all, 0, start.length);
            all[start.length] = SEPARATOR;
            System.arraycopy(body, 0, all, start.length + 1, body.length);
            return XXH3.hashBytes(all);
        }
    }

    /**
     * What a call is expected to spend.
     *
     * @param promptTokens tokens of the prompt, cached or not
     * @param outputTokens tokens that will be generated
     */
    public record Cost(int promptTokens, int outputTokens) {}

    /** Builds an {@link AttemptRequest}. */
    public static final class Builder {
        /** The longest that a caller can set. */
        private static final Duration LONGEST = Duration.ofHours(1);

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
        private Duration mTimeLeft = LONGEST;
        private int mPriority;
        private Cost mCost = new Cost(0, 0);
        private int mRedirects;
        private Duration mOutputKeepTime = Duration.ZERO;

        private Builder(AttemptId id, BackendRef target) {
            mId = id;
            mTarget = target;
        }

        /** Sets the client account and its share when accounts compete. */
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

        /** Sets whether running the call twice is harmless. */
        public Builder idempotent(boolean idempotent) {
            mIdempotent = idempotent;
            return this;
        }

        /** Sets the caller's key, or empty for none. */
        public Builder idempotencyKey(String key) {
            mIdempotencyKey = key;
            return this;
        }

        /** Sets the time until the caller's deadline, as of sending. */
        public Builder timeLeft(Duration left) {
            mTimeLeft = left;
            return this;
        }

        /** Sets the priority; higher goes first. */
        public Builder priority(int priority) {
            mPriority = priority;
            return this;
        }

        /** Sets what the call is expected to spend. */
        public Builder cost(Cost cost) {
            mCost = cost;
            return this;
        }

        /** Sets how many sidecars have passed the request on before. */
        public Builder redirects(int redirects) {
            mRedirects = redirects;
            return this;
        }

        /** Sets how long the finished output stays available to a resend. */
        public Builder outputKeepTime(Duration keepOutput) {
            mOutputKeepTime = keepOutput;
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
