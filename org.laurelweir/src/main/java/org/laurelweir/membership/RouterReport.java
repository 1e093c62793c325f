package org.laurelweir.membership;

/** What a router tells its control instance once a second. */
public record RouterReport(
        String name,
        long incarnation,
        String dataCentre,
        String region,
        String address,
        String explainAddress) {}
