package org.laurelweir.membership;

/**
 * A backend server's announcement as control instances forward it to each other.
 *
 * @param backend the backend server as its sidecar announced it
 * @param control the control instance that receives the sidecar's reports; only this instance may
 *     declare that the sidecar timed out
 */
public record Announcement(Backend backend, String control) {}
