package org.laurelweir.membership;

import org.laurelweir.lib.BackendRef;

/**
 * A backend server as its sidecar announces it.
 *
 * @param ref its name and the sidecar's incarnation
 * @param service the service that it belongs to
 * @param dataCentre where it stands
 * @param region the data centre's region
 * @param address where the sidecar listens, an IP number and a port
 * @param state whether it takes new work
 * @param weight its capacity relative to the service's other backend servers
 * @param session counts the announcement sessions of one incarnation
 */
public record Backend(
        BackendRef ref,
        String service,
        String dataCentre,
        String region,
        String address,
        State state,
        double weight,
        int session) {

    /** Whether a backend server takes new work. */
    public enum State {
        SERVING,
        DRAINING,
        LEFT
    }

    /** Returns this backend server in another state. */
    public Backend withState(State newState) {
        return new Backend(ref, service, dataCentre, region, address, newState, weight, session);
    }

    /** Returns another run of this backend server. */
    public Backend withRef(BackendRef newRef) {
        return new Backend(newRef, service, dataCentre, region, address, state, weight, session);
    }

    /** Returns this backend server under another session. */
    public Backend withSession(int newSession) {
        return new Backend(ref, service, dataCentre, region, address, state, weight, newSession);
    }

    /** Returns whether both announcements are of the same run and session of the same sidecar. */
    public boolean isSameSession(Backend other) {
        return ref.equals(other.ref) && session == other.session;
    }

    /**
     * Returns whether this announcement is newer than another of the same backend server. A later
     * incarnation wins, then a later session, then the state that is further towards leaving: a
     * sidecar never goes back from draining within one session.
     */
    public boolean supersedes(Backend other) {
        if (ref.incarnation() != other.ref.incarnation()) {
            return ref.incarnation() > other.ref.incarnation();
        }
        if (session != other.session) {
            return session > other.session;
        }
        return state.compareTo(other.state) > 0;
    }
}
