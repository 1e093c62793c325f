package org.laurelweir.coordination;

import java.time.Instant;

/**
 * An operator's order to drain a backend server, so that it gets no new requests.
 *
 * @param backend the backend server's name
 * @param author the operator who gave the order
 * @param orderedAt the time of the order, by the log's time
 */
public record DrainOrder(String backend, String author, Instant orderedAt) {}
