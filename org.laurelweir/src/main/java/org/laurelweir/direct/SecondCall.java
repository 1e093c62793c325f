package org.laurelweir.direct;

import java.time.Instant;
import org.laurelweir.membership.Backend;

/**
 * A copy of a hedged request at another backend server than its current call.
 *
 * @param call the number of the call
 * @param backend the backend server, as announced when the copy was sent
 * @param start when the copy was sent
 */
record SecondCall(long call, Backend backend, Instant start) {}
