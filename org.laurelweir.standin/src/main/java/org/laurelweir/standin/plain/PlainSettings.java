package org.laurelweir.standin.plain;

import org.laurelweir.standin.ListenSettings;

/**
 * The settings of a plain service. Everything may be absent.
 *
 * @param name the service's name, which each answer gives
 * @param listen where to listen; any port on the loopback address if absent
 * @param workMillis the time from a call to its answer
 * @param executionsFile the file to which executions are appended, or null
 */
public record PlainSettings(
        String name, ListenSettings listen, int workMillis, String executionsFile) {
    /** Fills in the defaults and refuses what is out of range. */
    public PlainSettings {
        name = name == null ? "plain" : name;
        listen = listen == null ? ListenSettings.LOOPBACK : listen;
        if (workMillis < 0) {
            throw new IllegalArgumentException("workMillis must be at least 0, not " + workMillis);
        }
    }
}
