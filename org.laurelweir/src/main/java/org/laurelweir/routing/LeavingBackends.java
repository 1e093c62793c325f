package org.laurelweir.routing;

import java.time.Instant;
import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import java.util.function.Predicate;
import org.laurelweir.lib.BackendRef;
import org.laurelweir.membership.MembershipConfig;

/**
 * The backend servers that told this router in an answer that they are about to stop. Control may
 * learn of it seconds later, or not at all, and names them as serving until then. A later
 * incarnation of such a server is not leaving.
 */
final class LeavingBackends {
    private final Map<String, Leaving> mLeaving = new HashMap<>();
    private Instant mNextExpiry = Instant.MIN;

    private record Leaving(long incarnation, Instant heardAt) {}

    /**
     * Adds a backend server.
     *
     * @return whether it was not known to leave
     */
    boolean add(Instant now, BackendRef ref) {
        Leaving known = mLeaving.get(ref.id());
        if (known != null && known.incarnation() >= ref.incarnation()) {
            return false;
        }
        mLeaving.put(ref.id(), new Leaving(ref.incarnation(), now));
        return true;
    }

    boolean contains(BackendRef ref) {
        Leaving known = mLeaving.get(ref.id());
        return known != null && known.incarnation() >= ref.incarnation();
    }

    /**
     * Removes backend servers that are no longer named, once a control instance that was cut off
     * can't name them any more.
     *
     * @param isNamed whether control still names a backend server
     */
    void expire(Instant now, Predicate<String> isNamed) {
        if (mLeaving.isEmpty() || now.isBefore(mNextExpiry)) {
            return;
        }
        mNextExpiry = now.plus(MembershipConfig.DEFAULT_DEPARTED_RETENTION);
        Iterator<Map.Entry<String, Leaving>> entries = mLeaving.entrySet().iterator();
        while (entries.hasNext()) {
            Map.Entry<String, Leaving> e = entries.next();
            boolean isOld =
                    e.getValue()
                            .heardAt()
                            .plus(MembershipConfig.DEFAULT_DEPARTED_RETENTION)
                            .isBefore(now);
            if (isOld && !isNamed.test(e.getKey())) {
                entries.remove();
            }
        }
    }
}
