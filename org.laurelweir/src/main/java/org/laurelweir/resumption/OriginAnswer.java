package org.laurelweir.resumption;

import java.time.Duration;
import java.util.Collection;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * What all control instances together know of the origin of a stream.
 *
 * @param origin the origin, or empty if none of them has a record
 * @param soleVersion the only version that the service has had for as long as the stream can exist,
 *     or empty if there were several or if that is not certain
 * @param asked number of control instances that were asked
 * @param answered number of control instances that answered
 */
public record OriginAnswer(
        Optional<StreamOrigin> origin, Optional<String> soleVersion, int asked, int answered) {

    /**
     * Combines the answers of control instances.
     *
     * @param asked number of control instances that were asked
     * @param reports the answers by the address of the instance
     * @param window how long ago the stream may have begun
     */
    public static OriginAnswer of(int asked, Map<String, OriginReport> reports, Duration window) {
        return new OriginAnswer(
                recorded(reports.values()), soleVersion(reports, window), asked, reports.size());
    }

    /** Returns the recorded origin; empty if there is none, or if records differ. */
    private static Optional<StreamOrigin> recorded(Collection<OriginReport> reports) {
        Set<StreamOrigin> origins = new HashSet<>();
        reports.forEach(r -> r.origin().ifPresent(origins::add));
        return origins.size() == 1 ? Optional.of(origins.iterator().next()) : Optional.empty();
    }

    /**
     * Returns the only version that a router can have learned of. A router learns of versions from
     * control instances, so this needs the answer of each instance that may have told one, and that
     * instance must remember what it told.
     */
    private static Optional<String> soleVersion(
            Map<String, OriginReport> reports, Duration window) {
        Set<String> versions = new HashSet<>();
        for (OriginReport r : reports.values()) {
            boolean remembers = r.knownFor().compareTo(window) >= 0;
            if (!remembers || !reports.keySet().containsAll(r.controls())) {
                return Optional.empty();
            }
            versions.addAll(r.versions());
        }
        return versions.size() == 1 ? Optional.of(versions.iterator().next()) : Optional.empty();
    }
}
