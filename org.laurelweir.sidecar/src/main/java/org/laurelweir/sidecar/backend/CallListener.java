package org.laurelweir.sidecar.backend;

import java.util.List;
import org.laurelweir.attempt.Frame;
import org.laurelweir.attempt.Header;

/** Hears what becomes of one call, on its connection's event loop; the end comes exactly once. */
interface CallListener {
    /** The answer began. */
    void answered(int status, List<Header> headers);

    /** A piece of the answer's body came. */
    void received(byte[] bytes);

    /** The answer is whole. */
    void finished(Frame.Usage usage);

    /**
     * The call failed.
     *
     * @param sent whether any byte of the call may have reached the backend server
     */
    void failed(boolean sent, String message);
}
