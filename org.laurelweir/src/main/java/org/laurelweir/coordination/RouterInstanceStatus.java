package org.laurelweir.coordination;

import java.time.Instant;
import org.laurelweir.membership.RouterReport;

/**
 * A router as some control instance hears it.
 *
 * @param report what it told of itself
 * @param settingsPosition the log position of the settings that it has
 * @param lastExchange when it exchanged last, by that instance's clock
 */
public record RouterInstanceStatus(
        RouterReport report, long settingsPosition, Instant lastExchange) {}
