package org.laurelweir.runtime.loop;

import java.util.concurrent.locks.LockSupport;

/** How an inbox's consumer sleeps and is woken. Waking it before it sleeps ends its next sleep. */
interface Parker {
    /** The platform's own parking, which may also end early without cause. */
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
