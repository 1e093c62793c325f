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
 * @param version the version of its software, or empty if it does not announce one
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
        boolean slowStart,
        String version) {

    /**
     * Creates an announcement of a backend server that is not in slow start and does not announce
     * its version.
     */
    public Backend(
            BackendRef ref,
            String service,
            String dataCentre,
            String region,
            String address,
            State state,
            double weight,
            int session) {
        this(ref, service, dataCentre, region, address, state, weight, session, false, "");
    }

    /** Whether a backend server accepts new work. */
    public enum State {
        SERVING,
        DRAINING,
        LEFT
    }

    /** Returns a copy in another state. */
    public Backend withState(State newState) {
        return toBuilder().state(newState).build();
    }

    /** Returns a copy with another name and incarnation. */
    public Backend withRef(BackendRef newRef) {
        return toBuilder().ref(newRef).build();
    }

    /** Returns a copy with another session number. */
    public Backend withSession(int newSession) {
        return toBuilder().session(newSession).build();
    }

    /** Returns a copy in another region. */
    public Backend withRegion(String newRegion) {
        return toBuilder().region(newRegion).build();
    }

    /** Returns a copy that is in slow start or not. */
    public Backend withSlowStart(boolean newSlowStart) {
        return toBuilder().slowStart(newSlowStart).build();
    }

    /** Returns a copy with another software version. */
    public Backend withVersion(String newVersion) {
        return toBuilder().version(newVersion).build();
    }

    private Builder toBuilder() {
        return new Builder(this);
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

    /** Builds a copy with some parts changed. */
    private static final class Builder {
        private final Backend mOriginal;
        private BackendRef mRef;
        private String mRegion;
        private State mState;
        private int mSession;
        private boolean mSlowStart;
        private String mVersion;

        Builder(Backend original) {
            mOriginal = original;
            mRef = original.ref;
            mRegion = original.region;
            mState = original.state;
            mSession = original.session;
            mSlowStart = original.slowStart;
            mVersion = original.version;
        }

        Builder ref(BackendRef ref) {
            mRef = ref;
            return this;
        }

        Builder region(String region) {
            mRegion = region;
            return this;
        }

        Builder state(State state) {
            mState = state;
            return this;
        }

        Builder session(int session) {
            mSession = session;
            return this;
        }

        Builder slowStart(boolean slowStart) {
            mSlowStart = slowStart;
            return this;
        }

        Builder version(String version) {
            mVersion = version;
            return this;
        }

        Backend build() {
            return new Backend(
                    mRef,
                    mOriginal.service,
                    mOriginal.dataCentre,
                    mRegion,
                    mOriginal.address,
                    mState,
                    mOriginal.weight,
                    mSession,
                    mSlowStart,
                    mVersion);
        }
    }
}
