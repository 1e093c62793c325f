package org.laurelweir.runtime.config;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.stream.Collectors;
import org.laurelweir.errors.LaurelweirException;
import org.laurelweir.lib.ResultCode;

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

    /**
     * Throws a LaurelweirException with code BAD_SETTINGS_FILE and one line per fault, if there are
     * faults.
     */
    void throwIfAny() {
        if (mFaults.isEmpty()) {
            return;
        }
        String lines =
                inFileOrder().stream()
                        .map(SettingsFault::toString)
                        .collect(Collectors.joining("\n"));
        throw new LaurelweirException(ResultCode.BAD_SETTINGS_FILE, lines);
    }

    /** Returns the faults in the order of their lines. */
    List<SettingsFault> inFileOrder() {
        return mFaults.stream().sorted(Comparator.comparingInt(SettingsFault::line)).toList();
    }
}
