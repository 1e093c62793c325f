package org.laurelweir.settings;

import java.util.ArrayList;
import java.util.List;

/** Lists the paths of all nodes except rules that apply to a context, if they exist. */
final class ApplicablePaths {
    private static final int ALL_LEVELS =
            Level.REGION.bit()
                    | Level.DATA_CENTRE.bit()
                    | Level.SERVICE.bit()
                    | Level.ACCOUNT.bit();

    private ApplicablePaths() {}

    /** Returns the paths, the most specific first; the last one is the deployment. */
    static List<NodePath> of(SettingsContext c) {
        int knownLevels =
                bit(Level.REGION, c.region())
                        | bit(Level.DATA_CENTRE, c.dataCentre())
                        | bit(Level.SERVICE, c.service())
                        | bit(Level.ACCOUNT, c.account());
        List<NodePath> paths = new ArrayList<>();
        for (int pathLevels = ALL_LEVELS; pathLevels >= 0; pathLevels--) {
            if ((pathLevels & ~knownLevels) == 0) {
                paths.add(
                        new NodePath(
                                nameIfIn(pathLevels, Level.REGION, c.region()),
                                nameIfIn(pathLevels, Level.DATA_CENTRE, c.dataCentre()),
                                nameIfIn(pathLevels, Level.SERVICE, c.service()),
                                nameIfIn(pathLevels, Level.ACCOUNT, c.account()),
                                null));
            }
        }
        return paths;
    }

    private static int bit(Level level, String name) {
        return name == null ? 0 : level.bit();
    }

    private static String nameIfIn(int pathLevels, Level level, String name) {
        return (pathLevels & level.bit()) == 0 ? null : name;
    }
}
