package org.laurelweir.resumption;

import java.time.Duration;

/**
 * The record of what began a stream.
 *
 * @param stream the stream's {@link StreamKey}
 * @param origin what began the stream
 * @param retention how long the record is needed
 */
public record StreamRecord(long stream, StreamOrigin origin, Duration retention) {}
