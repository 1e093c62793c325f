package org.laurelweir.direct;

import java.util.Collection;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * The regions in which a request may be served.
 *
 * @param isLimited whether only some regions are allowed
 * @param names the allowed regions if limited; may be empty, and then no region is allowed
 */
public record AllowedRegions(boolean isLimited, Set<String> names) {
    /** Allows every region. */
    public static final AllowedRegions ALL = new AllowedRegions(false, Set.of());

    /** Returns a limit to the named regions; no names mean no limit, as in the settings. */
    public static AllowedRegions of(Collection<String> names) {
        return names == null || names.isEmpty() ? ALL : new AllowedRegions(true, Set.copyOf(names));
    }

    /** Returns a limit to the regions that both limits allow. */
    public AllowedRegions and(AllowedRegions other) {
        if (!isLimited) {
            return other;
        }
        if (!other.isLimited) {
            return this;
        }
        return new AllowedRegions(
                true,
                names.stream()
                        .filter(other.names::contains)
                        .collect(Collectors.toUnmodifiableSet()));
    }

    /**
     * Returns whether a region is allowed. A region that is not known is not allowed by a limit.
     */
    boolean allows(String region) {
        return !isLimited || names.contains(region);
    }
}
