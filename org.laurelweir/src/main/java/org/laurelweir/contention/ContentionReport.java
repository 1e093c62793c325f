package org.laurelweir.contention;

import java.util.List;

/**
 * The demand of one or more routers. The numbers are totals and not differences, so that the next
 * report repairs a lost one.
 *
 * @param full whether the report lists all demand; otherwise it lists only what has changed since
 *     the last acknowledged report
 * @param servers the demand by backend server
 * @param accounts the demand by client account
 */
public record ContentionReport(
        boolean full, List<ServerDemand> servers, List<AccountDemand> accounts) {
    /** An incremental report without any change; the only report of a router without contention. */
    public static final ContentionReport NONE = new ContentionReport(false, List.of(), List.of());

    /** Creates a report with immutable copies of the lists. */
    public ContentionReport {
        servers = List.copyOf(servers);
        accounts = List.copyOf(accounts);
    }
}
