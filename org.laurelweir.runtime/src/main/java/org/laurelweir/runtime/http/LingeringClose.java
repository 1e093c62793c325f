package org.laurelweir.runtime.http;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.socket.DuplexChannel;
import java.util.concurrent.TimeUnit;

/**
 * Closes a connection whose client may still send: shuts down the output first, and discards input
 * for a while. Closing at once would reset the connection, and the client would lose its answer.
 */
public final class LingeringClose {
    private static final long LINGER_SECONDS = 2;

    private final Channel mChannel;
    private long mLeftBytes;

    /**
     * Creates what closes a connection.
     *
     * @param maxBytes what a client within the limits may still send, beyond which the connection
     *     is closed at once
     */
    public LingeringClose(Channel channel, long maxBytes) {
        mChannel = channel;
        mLeftBytes = maxBytes;
    }

    /** Shuts down the output, and closes the connection some seconds later. */
    public void begin() {
        if (!mChannel.isActive()) {
            return;
        }
        if (mChannel instanceof DuplexChannel duplex) {
            duplex.shutdownOutput();
        }
        mChannel.config().setAutoRead(true);
        mChannel.eventLoop().schedule(() -> mChannel.close(), LINGER_SECONDS, TimeUnit.SECONDS);
    }

    /** Discards input. */
    public void discard(ByteBuf bytes) {
        mLeftBytes -= bytes.readableBytes();
        bytes.release();
        if (mLeftBytes < 0) {
            mChannel.close();
        }
    }
}
