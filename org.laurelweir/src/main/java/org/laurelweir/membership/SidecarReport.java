package org.laurelweir.membership;

/**
 * A sidecar's report, which it sends to its control instance once per second.
 *
 * @param backend the sidecar's backend server
 * @param runningWork the running work, in token units
 * @param running the number of running requests
 * @param waiting the number of waiting requests
 */
public record SidecarReport(Backend backend, double runningWork, int running, int waiting) {}
