package org.laurelweir.standin.engine;

/** The progress of one request in the engine model. */
final class Sequence {
    private final EngineRequest mRequest;
    private int mCachedTokens;
    private double mPrefillLeft;
    private double mProgress;
    private int mProduced;
    private int mCutAfter;

    Sequence(EngineRequest request, int cutAfter) {
        mRequest = request;
        mCutAfter = cutAfter;
    }

    EngineRequest request() {
        return mRequest;
    }

    String id() {
        return mRequest.id();
    }

    int produced() {
        return mProduced;
    }

    int cachedTokens() {
        return mCachedTokens;
    }

    boolean isWhole() {
        return mProduced == mRequest.outputTokens();
    }

    /** Returns whether the run stops here although the answer goes on. */
    boolean isCut() {
        return mProduced >= mCutAfter && mCutAfter < mRequest.outputTokens();
    }

    void cutAfter(int tokens) {
        mCutAfter = tokens;
    }

    /** Returns whether the prompt is worked through, so that output tokens come. */
    boolean isDecoding() {
        return mPrefillLeft <= 0;
    }

    /** Enters the batch with so many tokens of the prompt cached. */
    void enter(int cachedTokens) {
        mCachedTokens = cachedTokens;
        mPrefillLeft = mRequest.blocks().promptTokens() + mProduced - cachedTokens;
    }

    /** Works through prompt tokens; returns what is left of the budget. */
    double prefill(double budget) {
        double used = Math.min(budget, Math.max(0, mPrefillLeft));
        mPrefillLeft -= used;
        return budget - used;
    }

    /** Makes output tokens; returns how many whole ones there are now. */
    int decode(double tokens) {
        int limit = Math.min(mRequest.outputTokens(), mCutAfter);
        mProgress = Math.min(limit, mProgress + tokens);
        mProduced = (int) mProgress;
        return mProduced;
    }

    /** Returns the tokens whose KV state this request takes. */
    int tokens() {
        return mRequest.blocks().promptTokens() + mProduced;
    }
}
