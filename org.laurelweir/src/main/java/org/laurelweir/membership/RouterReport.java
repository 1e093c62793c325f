package org.laurelweir.membership;

/**
 * A router's report, which it sends to its control instance once per second.
 *
 * @param name the router's name
 * @param incarnation the router's incarnation
 * @param dataCentre the data centre that it runs in
 * @param region the data centre's region
 * @param address the router's address
 * @param explainAddress the address that answers explain requests
 */
public record RouterReport(
        String name,
        long incarnation,
        String dataCentre,
        String region,
        String address,
        String explainAddress) {}
