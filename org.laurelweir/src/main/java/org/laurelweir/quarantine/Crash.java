package org.laurelweir.quarantine;

import java.time.Duration;
import org.laurelweir.lib.BackendRef;

/**
 * A crash of a backend server while it ran a request.
 *
 * @param server the incarnation of the backend server that crashed
 * @param router the router that observed the crash; the first by name if several did
 * @param age time since the crash was observed, when the record is sent; an age is independent of
 *     differences between the clocks of two processes
 * @param excused whether the request is known not to be the cause: it was served since, or the
 *     backend server answered since and so had not crashed
 */
public record Crash(BackendRef server, String router, Duration age, boolean excused) {}
