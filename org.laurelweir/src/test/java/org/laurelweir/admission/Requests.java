package org.laurelweir.admission;

import java.time.Duration;
import java.util.List;
import org.laurelweir.attempt.AttemptRequest;
import org.laurelweir.lib.AttemptId;
import org.laurelweir.lib.BackendRef;

/** Builds requests for tests, each with something to vary. */
final class Requests {
    static final String SERVICE = "seilhjerne";

    private AttemptId mId = new AttemptId("router-1", 1, 1, 1);
    private BackendRef mTarget = new BackendRef("engine-1", 1);
    private String mAccount = "account";
    private long mChat;
    private boolean mReturning;
    private byte[] mBody = new byte[0];
    private boolean mIdempotent = true;
    private String mKey = "";
    private Duration mTimeLeft = Duration.ofMinutes(1);
    private int mPriority;
    private int mOutputTokens = 100;
    private int mRedirects;
    private double mWeight = 1;
    private Duration mKeepOutput = Duration.ZERO;

    static Requests request(AttemptId id) {
        Requests r = new Requests();
        r.mId = id;
        return r;
    }

    static Requests request(long number) {
        return request(new AttemptId("router-1", 1, number, 1));
    }

    Requests target(BackendRef target) {
        mTarget = target;
        return this;
    }

    Requests account(String account, double weight) {
        mAccount = account;
        mWeight = weight;
        return this;
    }

    Requests chat(long chat) {
        mChat = chat;
        return this;
    }

    Requests bodyBytes(int bytes) {
        mBody = new byte[bytes];
        return this;
    }

    Requests key(String key, Duration keepOutput) {
        mIdempotent = false;
        mKey = key;
        mKeepOutput = keepOutput;
        return this;
    }

    Requests returning() {
        mReturning = true;
        return this;
    }

    Requests timeLeft(Duration left) {
        mTimeLeft = left;
        return this;
    }

    Requests priority(int priority) {
        mPriority = priority;
        return this;
    }

    Requests outputTokens(int tokens) {
        mOutputTokens = tokens;
        return this;
    }

    Requests redirects(int redirects) {
        mRedirects = redirects;
        return this;
    }

    AttemptRequest build() {
        AttemptRequest.Call call =
                new AttemptRequest.Call("POST", "/v1/chat/completions", List.of(), mBody, true);
        return new AttemptRequest(
                mId,
                mTarget,
                mAccount,
                SERVICE,
                mChat,
                mReturning,
                call,
                mIdempotent,
                mKey,
                mTimeLeft,
                mPriority,
                new AttemptRequest.Cost(0, mOutputTokens),
                mRedirects,
                mWeight,
                mKeepOutput);
    }
}
