package org.laurelweir.settings;

import java.util.ArrayList;
import java.util.List;

/** The paths of all nodes, rules aside, that would apply to a context if they existed. */
final class ApplicablePaths {
    private static final int ALL =
            Level.REGION.bit()
                    | Level.DATA_CENTRE.bit()
                    | Level.SERVICE.bit()
                    | Level.ACCOUNT.bit();

    private ApplicablePaths() {}

    /** Returns the paths, the most specific first; the deployment is the last. */
    static List<NodePath> of(SettingsContext c) {
        int known =
                bit(Level.REGION, c.region())
                        | bit(Level.DATA_CENTRE, c.dataCentre())
                        | bit(Level.SERVICE, c.service())
                        | bit(Level.ACCOUNT, c.account());
        List<NodePath> paths = new ArrayList<>();
        for (int named = ALL; named >= 0; named--) {
            if ((named & ~known) == 0) {
                paths.add(
                        new NodePath(
                                pick(named, Level.REGION, c.region()),
                                pick(named, Level.DATA_CENTRE, c.dataCentre()),
                                pick(named, Level.SERVICE, c.service()),
                                pick(named, Level.ACCOUNT, c.account()),
                                null));
            }
        }
        return paths;
    }

    private static int bit(Level level, String name) {
        return name == null ? 0 : level.bit();
    }

    private static String pick(int named, Level level, String name) {
        return (named & level.bit()) == 0 ? null : name;
    }
}
