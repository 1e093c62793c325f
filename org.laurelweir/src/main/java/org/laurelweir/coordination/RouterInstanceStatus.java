package org.laurelweir.coordination;

import java.time.Instant;
import org.laurelweir.membership.RouterReport;

/**
 * The status of a router as known to the control instance that the router exchanges with.
 *
 * @param report the router's last report
 * @param settingsPosition the log position of the settings that the router uses
 * @param lastExchange the time of its last exchange, by the clock of that control instance
 */
public record RouterInstanceStatus(
        RouterReport report, long settingsPosition, Instant lastExchange) {}
