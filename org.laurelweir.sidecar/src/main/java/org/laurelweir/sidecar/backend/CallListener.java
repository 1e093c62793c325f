package org.laurelweir.sidecar.backend;

import java.util.List;
import org.laurelweir.attempt.Frame;
import org.laurelweir.attempt.Header;

/**
 * Receives the answer and the end of one call, on its connection's event loop. Exactly one of
 * {@link #onFinished} and {@link #onFailed} is called, once.
 */
interface CallListener {
    /** The status and the headers of the answer arrived. */
    void onHead(int status, List<Header> headers);

    /** Bytes of the answer's body arrived. */
    void onData(byte[] bytes);

    /** The answer is complete. */
    void onFinished(Frame.Usage usage);

    /**
     * The call failed.
     *
     * @param possiblySent whether any byte of the call may have reached the backend server
     */
    void onFailed(boolean possiblySent, String message);
}
