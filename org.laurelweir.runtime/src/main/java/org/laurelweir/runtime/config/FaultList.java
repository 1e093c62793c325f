package org.laurelweir.runtime.config;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/** Collects the faults of one file. */
final class FaultList {
    private final String mFile;
    private final List<SettingsFault> mFaults = new ArrayList<>();

    FaultList(String file) {
        mFile = file;
    }

    void add(int line, String key, String problem, String allowed) {
        mFaults.add(new SettingsFault(mFile, line, key, problem, allowed));
    }

    int size() {
        return mFaults.size();
    }

    /** Returns the faults in the order of the file. */
    List<SettingsFault> inOrder() {
        return mFaults.stream().sorted(Comparator.comparingInt(SettingsFault::line)).toList();
    }
}
