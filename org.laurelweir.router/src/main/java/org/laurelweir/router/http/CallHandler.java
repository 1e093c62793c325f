package org.laurelweir.router.http;

/** Handles the callers' requests. Called on event loops; must not block. */
public interface CallHandler {
    /**
     * Handles a request. The handler gives the caller exactly one complete answer, at once or
     * later.
     *
     * @param caller id of the request within this router, which the other methods repeat
     * @param call the request
     * @param answer sends the answer to the caller
     */
    void onCall(long caller, HttpCall call, CallerAnswer answer);

    /** Called when a caller's connection is closed before its answer is complete. */
    void onGone(long caller);

    /**
     * Called when the caller's socket has accepted the answer's body up to an offset.
     *
     * @param offset offset in the body, in bytes
     */
    void onConsumed(long caller, long offset);
}
