package org.laurelweir.wire;

import java.util.List;
import org.laurelweir.membership.Announcement;
import org.laurelweir.membership.Backend;
import org.laurelweir.membership.MembershipCursor;
import org.laurelweir.membership.MembershipDelta;
import org.laurelweir.membership.RouterReport;
import org.laurelweir.membership.ServiceLoad;
import org.laurelweir.membership.SidecarReport;
import org.laurelweir.wire.v1.BackendState;

/** Converts announcements, membership deltas and load. */
public final class MembershipCodec {
    private MembershipCodec() {}

    /** Returns the message of a backend server. */
    public static org.laurelweir.wire.v1.Backend toWire(Backend b) {
        return org.laurelweir.wire.v1.Backend.newBuilder()
                .setRef(IdCodec.toWire(b.ref()))
                .setService(b.service())
                .setDataCentre(b.dataCentre())
                .setRegion(b.region())
                .setAddress(b.address())
                .setState(toWire(b.state()))
                .setWeight(b.weight())
                .setSession(b.session())
                .setSlowStart(b.slowStart())
                .setVersion(b.version())
                .build();
    }

    /** Returns the backend server that a message holds. */
    public static Backend toCore(org.laurelweir.wire.v1.Backend b) {
        return new Backend(
                IdCodec.toCore(b.getRef()),
                b.getService(),
                b.getDataCentre(),
                b.getRegion(),
                b.getAddress(),
                toCore(b.getState()),
                b.getWeight(),
                b.getSession(),
                b.getSlowStart(),
                b.getVersion());
    }

    /** Returns the message of an announcement. */
    public static org.laurelweir.wire.v1.Announcement toWire(Announcement a) {
        return org.laurelweir.wire.v1.Announcement.newBuilder()
                .setBackend(toWire(a.backend()))
                .setControl(a.control())
                .build();
    }

    /** Returns the announcement that a message holds. */
    public static Announcement toCore(org.laurelweir.wire.v1.Announcement a) {
        return new Announcement(toCore(a.getBackend()), a.getControl());
    }

    static BackendState toWire(Backend.State state) {
        return switch (state) {
            case SERVING -> BackendState.SERVING;
            case DRAINING -> BackendState.DRAINING;
            case LEFT -> BackendState.LEFT;
        };
    }

    // A state that this version does not know counts as draining: the backend server gets no new
    // work.
    static Backend.State toCore(BackendState state) {
        return switch (state) {
            case SERVING -> Backend.State.SERVING;
            case LEFT -> Backend.State.LEFT;
            default -> Backend.State.DRAINING;
        };
    }

    /** Returns the message of a sidecar's report. */
    public static org.laurelweir.wire.v1.SidecarReport toWire(SidecarReport r) {
        return org.laurelweir.wire.v1.SidecarReport.newBuilder()
                .setBackend(toWire(r.backend()))
                .setRunningWork(r.runningWork())
                .setRunning(r.running())
                .setWaiting(r.waiting())
                .build();
    }

    /** Returns the report that a message holds. */
    public static SidecarReport toCore(org.laurelweir.wire.v1.SidecarReport r) {
        return new SidecarReport(
                toCore(r.getBackend()), r.getRunningWork(), r.getRunning(), r.getWaiting());
    }

    /** Returns the message of a router's report. */
    public static org.laurelweir.wire.v1.RouterReport toWire(RouterReport r) {
        return org.laurelweir.wire.v1.RouterReport.newBuilder()
                .setName(r.name())
                .setIncarnation(r.incarnation())
                .setDataCentre(r.dataCentre())
                .setRegion(r.region())
                .setAddress(r.address())
                .setExplainAddress(r.explainAddress())
                .build();
    }

    /** Returns the report that a message holds. */
    public static RouterReport toCore(org.laurelweir.wire.v1.RouterReport r) {
        return new RouterReport(
                r.getName(),
                r.getIncarnation(),
                r.getDataCentre(),
                r.getRegion(),
                r.getAddress(),
                r.getExplainAddress());
    }

    /** Returns the message of a cursor. */
    public static org.laurelweir.wire.v1.MembershipCursor toWire(MembershipCursor c) {
        return org.laurelweir.wire.v1.MembershipCursor.newBuilder()
                .setControl(c.control())
                .setControlIncarnation(c.controlIncarnation())
                .setVersion(c.version())
                .build();
    }

    /** Returns the cursor that a message holds. */
    public static MembershipCursor toCore(org.laurelweir.wire.v1.MembershipCursor c) {
        return new MembershipCursor(c.getControl(), c.getControlIncarnation(), c.getVersion());
    }

    /** Returns the message of a delta. */
    public static org.laurelweir.wire.v1.MembershipDelta toWire(MembershipDelta d) {
        org.laurelweir.wire.v1.MembershipDelta.Builder builder =
                org.laurelweir.wire.v1.MembershipDelta.newBuilder()
                        .setCursor(toWire(d.cursor()))
                        .setFull(d.full());
        d.backends().forEach(b -> builder.addBackends(toWire(b)));
        return builder.build();
    }

    /** Returns the delta that a message holds. */
    public static MembershipDelta toCore(org.laurelweir.wire.v1.MembershipDelta d) {
        List<Backend> backends = d.getBackendsList().stream().map(MembershipCodec::toCore).toList();
        return new MembershipDelta(toCore(d.getCursor()), d.getFull(), backends);
    }

    /** Returns the message of a service's load. */
    public static org.laurelweir.wire.v1.ServiceLoad toWire(ServiceLoad l) {
        return org.laurelweir.wire.v1.ServiceLoad.newBuilder()
                .setService(l.service())
                .setMeanWork(l.meanWork())
                .setBackends(l.backends())
                .build();
    }

    /** Returns the load that a message holds. */
    public static ServiceLoad toCore(org.laurelweir.wire.v1.ServiceLoad l) {
        return new ServiceLoad(l.getService(), l.getMeanWork(), l.getBackends());
    }
}
