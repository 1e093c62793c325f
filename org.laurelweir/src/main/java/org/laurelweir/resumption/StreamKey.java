package org.laurelweir.resumption;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import org.laurelweir.lib.Sha256;

/**
 * Identifies the streams of callers in records. The client account is part of the key, so that no
 * account learns of another account's streams.
 */
public final class StreamKey {
    /** Stands between account and request id, since neither contains it. */
    private static final char SEPARATOR = '\n';

    private StreamKey() {}

    /**
     * Returns the key of a stream.
     *
     * @param account the client account, or empty if the route needs no API key
     * @param requestId the caller's id of the request that brought the stream's first event
     */
    public static long of(String account, String requestId) {
        byte[] text = (account + SEPARATOR + requestId).getBytes(StandardCharsets.UTF_8);
        return ByteBuffer.wrap(Sha256.newDigest().digest(text)).getLong();
    }
}
