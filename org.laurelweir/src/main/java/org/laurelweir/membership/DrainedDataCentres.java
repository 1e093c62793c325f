package org.laurelweir.membership;

import java.util.Collection;
import java.util.Collections;
import java.util.SortedSet;
import java.util.TreeSet;

/**
 * The data centres that operators have ordered to drain: their backend servers get no new requests.
 * Every message contains the complete set, and the position decides which of two sets is newer.
 *
 * @param position the log position of the last change, 0 if there was none
 * @param names the names of the data centres
 */
public record DrainedDataCentres(long position, SortedSet<String> names) {
    /** The set before the first order. */
    public static final DrainedDataCentres NONE = new DrainedDataCentres(0, new TreeSet<>());

    /** Creates the set from names in any order. */
    public DrainedDataCentres(long position, Collection<String> names) {
        this(position, new TreeSet<>(names));
    }

    /** Makes an immutable copy of the names. */
    public DrainedDataCentres {
        names = Collections.unmodifiableSortedSet(new TreeSet<>(names));
    }

    /** Returns whether a data centre is drained. */
    public boolean contains(String dataCentre) {
        return names.contains(dataCentre);
    }
}
