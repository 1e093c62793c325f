package org.laurelweir.pgm;

import java.util.List;

/** The records that specify the programs' settings files. */
public final class SettingsFiles {
    /** One for each program that starts from a file. */
    public static final List<Class<? extends Record>> SPECS = List.of();

    private SettingsFiles() {}
}
