package org.laurelweir.router;

import org.laurelweir.router.http.Limits;
import org.laurelweir.runtime.http.RequestMemory;
import org.laurelweir.settings.EffectiveSettings;
import org.laurelweir.settings.SettingKeys;
import org.laurelweir.settings.SettingsLookup;
import org.laurelweir.settings.SettingsTree;

/** The limits for callers: those of the settings in force, within what this process can hold. */
final class CallerLimits {
    /** Share of the descriptors for callers; each of their requests may need one more. */
    private static final double CALLERS_SHARE = 0.45;

    private final SettingsLookup mSettings;
    private final RequestMemory mRequestMemory;
    private final int mMaxConnections;
    private volatile KnownLimits mLimits;

    /** The limits for callers by a tree of settings. */
    private record KnownLimits(SettingsTree tree, Limits limits) {}

    /**
     * Creates limits.
     *
     * @param maxDescriptors the descriptors that the process may open; 0 if they are not limited
     */
    CallerLimits(SettingsLookup settings, RequestMemory requestMemory, int maxDescriptors) {
        mSettings = settings;
        mRequestMemory = requestMemory;
        mMaxConnections =
                maxDescriptors == 0 ? Integer.MAX_VALUE : (int) (maxDescriptors * CALLERS_SHARE);
    }

    /** Returns the limits for callers, which are read for each request. */
    Limits get() {
        KnownLimits known = mLimits;
        SettingsTree tree = mSettings.tree();
        if (known == null || known.tree() != tree) {
            known = new KnownLimits(tree, newLimits());
            mLimits = known;
        }
        return known.limits();
    }

    private Limits newLimits() {
        EffectiveSettings s = mSettings.effective(null, null);
        return new Limits(
                Math.min(
                        s.get(SettingKeys.LIMIT_BODY_BYTES).bytes(),
                        mRequestMemory.maxRequestBytes() - RequestMemory.SMALL_BYTES),
                (int) s.get(SettingKeys.LIMIT_HEADER_BYTES).bytes(),
                Math.min(s.get(SettingKeys.LIMIT_CONNECTIONS), mMaxConnections),
                s.get(SettingKeys.LIMIT_REQUEST_TIME),
                s.get(SettingKeys.LIMIT_IDLE_TIME));
    }
}
