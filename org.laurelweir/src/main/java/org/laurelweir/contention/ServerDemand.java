package org.laurelweir.contention;

import org.laurelweir.lib.BackendRef;

/**
 * What one or more routers have at a backend server.
 *
 * @param server the incarnation of the backend server
 * @param tokens tokens that their requests hold in its memory
 * @param ended number of their requests that ended there lately, whichever way
 * @param failed number of those that the backend server failed
 */
public record ServerDemand(BackendRef server, long tokens, int ended, int failed) {}
