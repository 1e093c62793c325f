package org.laurelweir.runtime.loop;

import java.util.concurrent.locks.LockSupport;

/**
 * Parks and unparks an inbox's consumer. If unpark is called before park, the next park returns at
 * once.
 */
interface Parker {
    /** Uses LockSupport, whose park may also return spuriously. */
    Parker DEFAULT =
            new Parker() {
                @Override
                public void park(Object blocker, long nanos) {
                    LockSupport.parkNanos(blocker, nanos);
                }

                @Override
                public void unpark(Thread thread) {
                    LockSupport.unpark(thread);
                }
            };

    void park(Object blocker, long nanos);

    void unpark(Thread thread);
}
