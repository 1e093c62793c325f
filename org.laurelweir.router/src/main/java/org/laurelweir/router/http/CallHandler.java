package org.laurelweir.router.http;

/** Takes the callers' requests. Called on event loops; must not block. */
public interface CallHandler {
    /**
     * Takes a request; exactly one whole answer goes to the caller, now or later.
     *
     * @param caller names the request towards the caller's side
     * @param call the request
     * @param answer where the answer goes
     */
    void onCall(long caller, HttpCall call, CallerAnswer answer);

    /** Notes that a caller hung up before its answer was whole. */
    void onGone(long caller);

    /**
     * Notes that a caller's socket took all of the answer's body up to an offset.
     *
     * @param offset in bytes
     */
    void onTaken(long caller, long offset);
}
