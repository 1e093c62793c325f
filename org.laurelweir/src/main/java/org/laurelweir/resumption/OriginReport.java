package org.laurelweir.resumption;

import java.time.Duration;
import java.util.List;
import java.util.Optional;

/**
 * What one control instance knows of the origin of a stream.
 *
 * @param origin the recorded origin, or empty if this instance has no record
 * @param versions the software versions that the service's backend servers had within the time that
 *     was asked for, as far as this instance was told
 * @param knownFor how long this instance has been told of backend servers without a gap
 * @param controls the addresses of all control instances that may have told a router of a backend
 *     server within that time
 */
public record OriginReport(
        Optional<StreamOrigin> origin,
        List<String> versions,
        Duration knownFor,
        List<String> controls) {}
