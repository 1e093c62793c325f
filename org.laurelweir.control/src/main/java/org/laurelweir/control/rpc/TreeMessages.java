package org.laurelweir.control.rpc;

import org.laurelweir.settings.SettingsDelta;
import org.laurelweir.wire.SettingsCodec;

/**
 * Makes the messages of settings, of a whole tree only once: to make that of 370 nodes takes an
 * instance that has just started 50 ms of processor time, and after a start of everything each
 * router asks for it. Thread-safe.
 */
final class TreeMessages {
    private SettingsDelta mWhole;
    private org.laurelweir.wire.v1.SettingsDelta mMessage;

    /** Returns the message of what a reader lacks. */
    org.laurelweir.wire.v1.SettingsDelta of(SettingsDelta delta) {
        return delta.full() ? ofWhole(delta) : SettingsCodec.toWire(delta);
    }

    private synchronized org.laurelweir.wire.v1.SettingsDelta ofWhole(SettingsDelta delta) {
        if (delta != mWhole) {
            mMessage = SettingsCodec.toWire(delta);
            mWhole = delta;
        }
        return mMessage;
    }
}
