package org.laurelweir.membership;

import org.laurelweir.lib.BackendRef;

/**
 * Permits one router to send requests to a backend server in slow start.
 *
 * @param server the backend server
 * @param requestsPerSecond the router's share of the requests that the server takes in slow start;
 *     above 0
 */
public record SlowStartPermit(BackendRef server, double requestsPerSecond) {}
