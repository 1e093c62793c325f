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

    /** Returns whether the run is cut here, before the end of its answer. */
    boolean isCut() {
        return mProduced >= mCutAfter && mCutAfter < mRequest.outputTokens();
    }

    void setCutAfter(int tokens) {
        mCutAfter = tokens;
    }

    /** Returns whether the prompt is processed, so that output tokens are produced. */
    boolean isDecoding() {
        return mPrefillLeft <= 0;
    }

    /** Starts to process the prompt, of which {@code cachedTokens} tokens are cached. */
    void startPrefill(int cachedTokens) {
        mCachedTokens = cachedTokens;
        mPrefillLeft = mRequest.blocks().promptTokens() + mProduced - cachedTokens;
    }

    /** Processes prompt tokens within a budget and returns the rest of the budget. */
    double prefill(double budget) {
        double used = Math.min(budget, Math.max(0, mPrefillLeft));
        mPrefillLeft -= used;
        return budget - used;
    }

    /**
     * Adds a number of output tokens, which may have a fraction; returns the number of whole tokens
     * produced so far.
     */
    int decode(double tokens) {
        int limit = Math.min(mRequest.outputTokens(), mCutAfter);
        mProgress = Math.min(limit, mProgress + tokens);
        mProduced = (int) mProgress;
        return mProduced;
    }

    /** Returns the number of tokens whose KV state this request occupies. */
    int tokens() {
        return mRequest.blocks().promptTokens() + mProduced;
    }
}
