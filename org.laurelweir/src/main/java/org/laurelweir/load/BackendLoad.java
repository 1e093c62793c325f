package org.laurelweir.load;

import org.laurelweir.lib.BackendRef;

/**
 * What one or more routers have at a backend server.
 *
 * @param server the run that has it
 * @param requests requests that were sent and are not over
 */
public record BackendLoad(BackendRef server, int requests) {}
