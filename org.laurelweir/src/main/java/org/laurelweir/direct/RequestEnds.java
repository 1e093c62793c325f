package org.laurelweir.direct;

import java.util.function.Consumer;

/** Ends requests, with all that the router holds for them. */
interface RequestEnds {
    /** Ends a request with an error answer. */
    void end(ActiveRequest r, Consumer<ActiveRequest> errorAnswer);

    /** Forgets a request whose answer has been forwarded. */
    void remove(ActiveRequest r);
}
