package org.laurelweir.runtime.rpc;

import java.io.IOException;
import java.nio.channels.ServerSocketChannel;
import org.laurelweir.errors.LaurelweirException;
import org.laurelweir.lib.ResultCode;
import org.laurelweir.runtime.config.Endpoint;

/**
 * A socket that listens before its program is ready to accept connections. After a restart, a
 * program spends most of the time until it serves on loading its classes. Connections that callers
 * open during this time would be refused and cost a retry. With this socket, they wait until the
 * program is ready.
 *
 * @param endpoint address on which it listens
 * @param channel the listening socket
 */
public record EarlySocket(Endpoint endpoint, ServerSocketChannel channel) {
    /** Maximum number of waiting connections; more than arrive at one instance during a start. */
    private static final int BACKLOG = 1024;

    /**
     * Opens a listening socket.
     *
     * @param endpoint address to listen on
     * @throws LaurelweirException CANNOT_LISTEN if the address is in use or does not belong to this
     *     machine
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
