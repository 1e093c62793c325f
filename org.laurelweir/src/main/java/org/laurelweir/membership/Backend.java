package org.laurelweir.membership;

import org.laurelweir.lib.BackendRef;

/**
 * A backend server as its sidecar announces it. Backend servers without a sidecar announce
 * themselves, see {@link DirectAnnouncements}.
 *
 * @param ref its name and the sidecar's incarnation
 * @param service the service that it belongs to
 * @param dataCentre the data centre that it runs in
 * @param region the data centre's region
 * @param address the IP address and port on which the sidecar listens
 * @param state whether it accepts new work
 * @param weight its capacity relative to the service's other backend servers
 * @param session the number of the announcement session, counted within one incarnation
 * @param slowStart whether it has lately started and takes few requests for some time
 */
public record Backend(
        BackendRef ref,
        String service,
        String dataCentre,
        String region,
        String address,
        State state,
        double weight,
        int session,
        boolean slowStart) {

    /** Creates an announcement of a backend server that is not in slow start. */
    public Backend(
            BackendRef ref,
            String service,
            String dataCentre,
            String region,
            String address,
            State state,
            double weight,
            int session) {
        this(ref, service, dataCentre, region, address, state, weight, session, false);
    }

    /** Whether a backend server accepts new work. */
    public enum State {
        SERVING,
        DRAINING,
        LEFT
    }

    /** Returns a copy in another state. */
    public Backend withState(State newState) {
        return new Backend(
                ref, service, dataCentre, region, address, newState, weight, session, slowStart);
    }

    /** Returns a copy with another name and incarnation. */
    public Backend withRef(BackendRef newRef) {
        return new Backend(
                newRef, service, dataCentre, region, address, state, weight, session, slowStart);
    }

    /** Returns a copy with another session number. */
    public Backend withSession(int newSession) {
        return new Backend(
                ref, service, dataCentre, region, address, state, weight, newSession, slowStart);
    }

    /** Returns a copy in another region. */
    public Backend withRegion(String newRegion) {
        return new Backend(
                ref, service, dataCentre, newRegion, address, state, weight, session, slowStart);
    }

    /** Returns a copy that is in slow start or not. */
    public Backend withSlowStart(boolean newSlowStart) {
        return new Backend(
                ref, service, dataCentre, region, address, state, weight, session, newSlowStart);
    }

    /** Returns whether both announcements have the same name, incarnation and session. */
    public boolean isSameSession(Backend other) {
        return ref.equals(other.ref) && session == other.session;
    }

    /**
     * Returns whether this announcement is newer than another one of the same backend server. The
     * later incarnation wins, then the later session, then the later state in the order serving,
     * draining, left: within one session a sidecar never returns to an earlier state.
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
