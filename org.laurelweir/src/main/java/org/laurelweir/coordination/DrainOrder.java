package org.laurelweir.coordination;

import java.time.Instant;

/**
 * An operator's wish that a backend server takes no new work.
 *
 * @param backend the backend server's name
 * @param author who wants it
 * @param orderedAt since when
 */
public record DrainOrder(String backend, String author, Instant orderedAt) {}
