package org.laurelweir.admission;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.laurelweir.membership.Backend;
import org.laurelweir.membership.MembershipCursor;
import org.laurelweir.membership.MembershipDelta;
import org.laurelweir.placement.Candidate;
import org.laurelweir.placement.ServiceView;
import org.laurelweir.placement.ViewChange;

/**
 * The sidecar's view of the backend servers of its service. It includes the sidecar's own server
 * once that is announced.
 */
final class Members {
    private final String mService;
    private final Map<String, String> mAddresses = new HashMap<>();
    private MembershipCursor mCursor = MembershipCursor.NONE;
    private ServiceView mView;

    Members(String service) {
        mService = service;
        mView = ServiceView.empty(service);
    }

    /**
     * Applies a membership update of a control instance. Backend servers of other services are
     * ignored.
     *
     * @return whether the view changed
     */
    boolean apply(MembershipDelta delta) {
        // This answers an exchange of the previous incarnation. Its changes build on a view that
        // this incarnation does not have. With its cursor, control would never send the rest of the
        // view.
        if (!delta.full() && mCursor.equals(MembershipCursor.NONE)) {
            return false;
        }
        List<ViewChange> changes = new ArrayList<>();
        Set<String> present = new HashSet<>();
        for (Backend b : delta.backends()) {
            if (b.service().equals(mService)) {
                present.add(b.ref().id());
                addChange(b, changes);
            }
        }
        if (delta.full()) {
            removeAbsent(present, changes);
        }
        mCursor = delta.cursor();
        if (changes.isEmpty()) {
            return false;
        }
        mView = mView.apply(mView.version() + 1, changes);
        return true;
    }

    private void addChange(Backend backend, List<ViewChange> changes) {
        String id = backend.ref().id();
        if (backend.state() == Backend.State.LEFT) {
            mAddresses.remove(id);
            changes.add(new ViewChange.Leave(id));
            return;
        }
        mAddresses.put(id, backend.address());
        boolean draining = backend.state() == Backend.State.DRAINING;
        Candidate candidate =
                new Candidate(backend.ref(), backend.dataCentre(), backend.weight(), draining);
        if (!candidate.equals(mView.candidate(id))) {
            changes.add(new ViewChange.Join(candidate));
        }
    }

    private void removeAbsent(Set<String> present, List<ViewChange> changes) {
        for (Candidate c : mView.candidates()) {
            if (!present.contains(c.id())) {
                mAddresses.remove(c.id());
                changes.add(new ViewChange.Leave(c.id()));
            }
        }
    }

    MembershipCursor cursor() {
        return mCursor;
    }

    ServiceView view() {
        return mView;
    }

    /** Returns the address of a backend server's sidecar, or null if it is not known. */
    String address(String id) {
        return mAddresses.get(id);
    }
}
