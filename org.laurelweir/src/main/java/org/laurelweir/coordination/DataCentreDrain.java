package org.laurelweir.coordination;

import java.time.Instant;

/**
 * An operator's order to drain a data centre, so that its backend servers get no new requests.
 *
 * @param dataCentre the data centre's name
 * @param author the operator who gave the order
 * @param orderedAt the time of the order, by the log's time
 */
public record DataCentreDrain(String dataCentre, String author, Instant orderedAt) {}
