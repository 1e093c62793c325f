package org.laurelweir.load;

import org.laurelweir.lib.BackendRef;

/**
 * The load that one or more routers put on a backend server.
 *
 * @param server the incarnation of the backend server
 * @param requests number of requests in flight
 */
public record BackendLoad(BackendRef server, int requests) {}
