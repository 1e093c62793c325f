package org.laurelweir.runtime.rpc;

import java.io.IOException;
import java.nio.channels.ServerSocketChannel;
import org.laurelweir.errors.LaurelweirException;
import org.laurelweir.lib.ResultCode;
import org.laurelweir.runtime.config.Endpoint;

/**
 * A socket that listens before its program is ready to take connections. After a restart most of
 * the time until a program serves goes into loading it; callers that come meanwhile would find
 * nobody listening and use up a retry, where now they wait as long as that takes.
 *
 * @param endpoint where it listens
 * @param channel the socket
 */
public record EarlySocket(Endpoint endpoint, ServerSocketChannel channel) {
    /** Connections that may wait; more than come to one instance in the time of a start. */
    private static final int BACKLOG = 1024;

    /**
     * Listens.
     *
     * @param endpoint where
     * @throws LaurelweirException CANNOT_LISTEN if the address is taken or not of this machine
     */
    public static EarlySocket open(Endpoint endpoint) {
        try {
            ServerSocketChannel channel = ServerSocketChannel.open();
            channel.bind(endpoint.toSocketAddress(), BACKLOG);
            return new EarlySocket(endpoint, channel);
        } catch (IOException e) {
            throw cannotListen(endpoint, e);
        }
    }

    static LaurelweirException cannotListen(Endpoint endpoint, Throwable cause) {
        return new LaurelweirException(
                ResultCode.CANNOT_LISTEN,
                "cannot listen on " + endpoint + ": " + cause.getMessage(),
                cause);
    }
}
