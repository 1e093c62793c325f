package org.laurelweir.membership;

/** What a sidecar tells its control instance once a second. */
public record SidecarReport(Backend backend, double runningWork, int running, int waiting) {}
