package org.laurelweir.fleet;

import org.laurelweir.lib.ResultCode;

/** Receives the answer to a simulated caller's request. */
@FunctionalInterface
public interface FleetCaller {
    /** Receives data of a stream. */
    default void onData(byte[] bytes) {}

    /** Receives {@code OK}, or the code with which the answer failed. */
    void onEnd(ResultCode code);
}
