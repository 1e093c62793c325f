package org.laurelweir.runtime.config;

import java.net.InetSocketAddress;

/**
 * The address on which a process listens or to which it connects, written {@code host:port}.
 *
 * @param host an IP address or a host name, without brackets
 * @param port 0 to 65535; when listening, 0 lets the operating system choose
 */
public record Endpoint(String host, int port) {
    private static final int MAX_PORT = 65_535;

    /** Rejects an empty host and a port out of range with an IllegalArgumentException. */
    public Endpoint {
        if (host.isEmpty() || port < 0 || port > MAX_PORT) {
            throw new IllegalArgumentException("not an endpoint: " + host + ":" + port);
        }
    }

    /**
     * Parses an endpoint.
     *
     * @param text {@code host:port}, with an IPv6 address in brackets
     * @return the endpoint
     * @throws IllegalArgumentException if the text has another form
     */
    public static Endpoint parse(String text) {
        int colon = text.lastIndexOf(':');
        if (colon < 1) {
            throw new IllegalArgumentException("not an endpoint: " + text);
        }
        return new Endpoint(
                withoutBrackets(text.substring(0, colon)),
                Integer.parseInt(text.substring(colon + 1)));
    }

    private static String withoutBrackets(String host) {
        if (host.startsWith("[") && host.endsWith("]")) {
            return host.substring(1, host.length() - 1);
        }
        if (host.indexOf(':') >= 0) {
            throw new IllegalArgumentException("an IPv6 address must be in brackets: " + host);
        }
        return host;
    }

    /** Returns the socket address; resolves a host name. */
    public InetSocketAddress toSocketAddress() {
        return new InetSocketAddress(host, port);
    }

    /**
     * Returns an endpoint with the same host and another port, such as one that the operating
     * system chose.
     */
    public Endpoint withPort(int newPort) {
        return new Endpoint(host, newPort);
    }

    @Override
    public String toString() {
        return (host.indexOf(':') >= 0 ? "[" + host + "]" : host) + ":" + port;
    }
}
