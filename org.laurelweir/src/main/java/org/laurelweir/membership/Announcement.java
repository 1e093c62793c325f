package org.laurelweir.membership;

/**
 * What control instances pass on of a backend server.
 *
 * @param backend as its sidecar announced it
 * @param control the control instance that hears the sidecar, and alone may say that it vanished
 */
public record Announcement(Backend backend, String control) {}
