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

/** What the sidecar knows of its service's backend servers, itself among them once announced. */
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
     * Takes what a control instance says of the membership; of other services nothing is kept.
     *
     * @return whether anything changed
     */
    boolean apply(MembershipDelta delta) {
        // An answer to the run that this one took over from. Its changes continue a view that is
        // not here, and taking its cursor would leave the rest of the view out for good.
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

    /** Returns where a backend server's sidecar listens, or null if it is not known. */
    String address(String id) {
        return mAddresses.get(id);
    }
}
