package org.laurelweir.quarantine;

import java.time.Duration;
import org.laurelweir.lib.BackendRef;

/**
 * A backend server's end under a request.
 *
 * @param server the run that ended
 * @param router the router that saw it; the first by name, where several did
 * @param age how long ago it was seen, as of telling; clocks of two processes may differ
 * @param excused whether the request is known not to be the cause: it was served since, or the
 *     backend server answered since and had not ended
 */
public record Crash(BackendRef server, String router, Duration age, boolean excused) {}
