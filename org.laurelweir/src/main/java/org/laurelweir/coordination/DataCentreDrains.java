package org.laurelweir.coordination;

import java.util.Collection;
import java.util.List;
import java.util.TreeMap;
import org.laurelweir.membership.DrainedDataCentres;

/**
 * The drained data centres, part of the state machine. The last order in the log decides. A
 * repeated order changes nothing, so the time and author of the first one are kept.
 */
final class DataCentreDrains {
    private final TreeMap<String, DataCentreDrain> mDrains = new TreeMap<>();
    private DrainedDataCentres mCurrent = DrainedDataCentres.NONE;

    void apply(long index, Command.DrainDataCentre c) {
        String name = c.dataCentre();
        boolean isDrained = mDrains.containsKey(name);
        if (isDrained == c.drain()) {
            return;
        }
        if (c.drain()) {
            mDrains.put(name, new DataCentreDrain(name, c.author(), c.timestamp()));
        } else {
            mDrains.remove(name);
        }
        mCurrent = new DrainedDataCentres(index, mDrains.keySet());
    }

    /** Returns the drained data centres with the log position of the last change. */
    DrainedDataCentres current() {
        return mCurrent;
    }

    List<DataCentreDrain> all() {
        return List.copyOf(mDrains.values());
    }

    void restore(long position, Collection<DataCentreDrain> drains) {
        mDrains.clear();
        drains.forEach(d -> mDrains.put(d.dataCentre(), d));
        mCurrent = new DrainedDataCentres(position, mDrains.keySet());
    }
}
