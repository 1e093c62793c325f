package org.laurelweir.router.rpc;

import io.grpc.Attributes;
import io.grpc.ClientStreamTracer;
import io.grpc.Metadata;

/**
 * Records whether a call was ever assigned a connection. A call that fails before that has sent
 * nothing, so its request can't have been run.
 */
final class SentTracer extends ClientStreamTracer {
    private volatile boolean mSent;

    boolean isSent() {
        return mSent;
    }

    @Override
    public void streamCreated(Attributes transportAttributes, Metadata headers) {
        mSent = true;
    }

    ClientStreamTracer.Factory factory() {
        return new Factory() {
            @Override
            public ClientStreamTracer newClientStreamTracer(StreamInfo info, Metadata headers) {
                return SentTracer.this;
            }
        };
    }
}
