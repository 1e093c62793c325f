package org.laurelweir.pgm.fleet;

import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.laurelweir.pgm.Table;
import org.laurelweir.pgm.Texts;
import org.laurelweir.wire.v1.BackendStatus;
import org.laurelweir.wire.v1.ControlStatus;
import org.laurelweir.wire.v1.Crash;
import org.laurelweir.wire.v1.CrashRecord;
import org.laurelweir.wire.v1.DataCentreDrain;
import org.laurelweir.wire.v1.RouterStatus;
import org.laurelweir.wire.v1.ServiceLoad;
import org.laurelweir.wire.v1.StatusReply;
import org.laurelweir.wire.v1.SuspectKind;

/**
 * The fleet as {@code status} shows it.
 *
 * @param settingsPosition the position of the newest accepted change of settings
 * @param losses how many voters the log can lose; null if no control instance is known to lead
 * @param controls control instances
 * @param services services with their load; work is in token units
 * @param versions how many backend servers of each service have which software version
 * @param backends backend servers
 * @param routers routers
 * @param drainedDataCentres data centres whose backend servers get no new requests
 * @param quarantined requests and parts of prompts that no backend server receives
 */
public record FleetView(
        long settingsPosition,
        LossView losses,
        List<Control> controls,
        List<ServiceMean> services,
        List<ServiceVersion> versions,
        List<BackendServer> backends,
        List<Router> routers,
        List<DrainedDataCentre> drainedDataCentres,
        List<Quarantined> quarantined) {

    /**
     * A control instance.
     *
     * @param replica its name and its disk's id
     * @param role leader, follower, learner, or none if its disk is not in the log's membership
     */
    record Control(
            String name,
            String address,
            String replica,
            String role,
            long term,
            long applied,
            long committed,
            boolean possiblyStale) {
        static Control of(ControlStatus c) {
            return new Control(
                    c.getName(),
                    c.getAddress(),
                    Replicas.text(c.getReplica()),
                    roleOf(c),
                    c.getTerm(),
                    c.getApplied(),
                    c.getCommitted(),
                    c.getPossiblyStale());
        }

        private static String roleOf(ControlStatus c) {
            if (c.getLeader()) {
                return Texts.LEADER;
            }
            if (c.getVotersList().contains(c.getReplica())) {
                return Texts.FOLLOWER;
            }
            return c.getLearnersList().contains(c.getReplica())
                    ? Texts.LEARNER
                    : Texts.NOT_A_MEMBER;
        }
    }

    /** A service's mean load. */
    record ServiceMean(String service, int backends, double meanWork) {
        static ServiceMean of(ServiceLoad l) {
            return new ServiceMean(l.getService(), l.getBackends(), l.getMeanWork());
        }
    }

    /** A backend server with its sidecar. */
    record BackendServer(
            String id,
            String service,
            String version,
            String dataCentre,
            String address,
            String state,
            boolean drainOrdered,
            int running,
            int waiting,
            double work) {
        static BackendServer of(BackendStatus b) {
            return new BackendServer(
                    b.getBackend().getRef().getId(),
                    b.getBackend().getService(),
                    b.getBackend().getVersion(),
                    b.getBackend().getDataCentre(),
                    b.getBackend().getAddress(),
                    b.getBackend().getState().name(),
                    b.getDrainOrdered(),
                    b.getRunning(),
                    b.getWaiting(),
                    b.getRunningWork());
        }
    }

    /** A router. */
    record Router(
            String name,
            String dataCentre,
            String address,
            String explainAddress,
            long settingsPosition,
            String heard) {
        static Router of(RouterStatus r) {
            return new Router(
                    r.getRouter().getName(),
                    r.getRouter().getDataCentre(),
                    r.getRouter().getAddress(),
                    r.getRouter().getExplainAddress(),
                    r.getSettingsPosition(),
                    Instant.ofEpochMilli(r.getHeardMillis()).toString());
        }
    }

    /** A drained data centre, with the operator who ordered it and the time of the order. */
    record DrainedDataCentre(String name, String author, String since) {
        static DrainedDataCentre of(DataCentreDrain d) {
            return new DrainedDataCentre(
                    d.getDataCentre(),
                    d.getAuthor(),
                    Instant.ofEpochMilli(d.getAtMillis()).toString());
        }
    }

    /**
     * A request or a part of prompts in quarantine.
     *
     * @param kind request or prompt part
     * @param account the client account; of a part of prompts the first of those whose requests
     *     were running
     * @param lastEndSeconds the time since the last crash of a backend server that ran it, in
     *     seconds
     * @param ended the backend servers that crashed while they ran it
     */
    record Quarantined(
            String fingerprint,
            String kind,
            String account,
            String service,
            long lastEndSeconds,
            List<String> ended) {
        static Quarantined of(CrashRecord r) {
            List<Crash> crashes = r.getCrashesList().stream().filter(c -> !c.getExcused()).toList();
            boolean isPart = r.getKind() == SuspectKind.SUSPECT_KIND_PROMPT_PART;
            long last = crashes.stream().mapToLong(Crash::getAgeMillis).min().orElse(0);
            return new Quarantined(
                    Long.toHexString(r.getFingerprint()),
                    isPart ? Texts.PROMPT_PART : Texts.REQUEST,
                    isPart ? firstAccount(crashes) : r.getAccount(),
                    r.getService(),
                    TimeUnit.MILLISECONDS.toSeconds(last),
                    crashes.stream().map(c -> c.getServer().getId()).toList());
        }

        private static String firstAccount(List<Crash> crashes) {
            return crashes.stream().map(Crash::getAccount).min(String::compareTo).orElse("");
        }
    }

    /** Returns the view of a status reply of control. */
    public static FleetView of(StatusReply reply) {
        return new FleetView(
                reply.getSettingsPosition(),
                LossView.of(reply.getControlsList()),
                reply.getControlsList().stream().map(Control::of).toList(),
                reply.getLoadsList().stream().map(ServiceMean::of).toList(),
                ServiceVersion.all(reply.getBackendsList()),
                reply.getBackendsList().stream().map(BackendServer::of).toList(),
                reply.getRoutersList().stream().map(Router::of).toList(),
                reply.getDrainedDataCentresList().stream().map(DrainedDataCentre::of).toList(),
                reply.getQuarantinedList().stream().map(Quarantined::of).toList());
    }

    /**
     * Returns the view as lines: the settings position, the losses the log can bear, then a table
     * for each kind of entry.
     */
    public List<String> lines() {
        List<String> lines = new ArrayList<>();
        lines.add(String.format(Texts.SETTINGS_POSITION, settingsPosition));
        lines.add(losses == null ? Texts.LOSSES_UNKNOWN : losses.line());
        List.of(
                        controlTable(),
                        serviceTable(),
                        versionTable(),
                        backendTable(),
                        routerTable(),
                        drainedDataCentreTable(),
                        quarantineTable())
                .forEach(
                        t -> {
                            lines.add("");
                            lines.addAll(t.lines());
                        });
        return lines;
    }

    private Table controlTable() {
        Table t = new Table(Texts.CONTROL_COLUMNS);
        for (Control c : controls) {
            String state = c.possiblyStale ? Texts.POSSIBLY_STALE : Texts.CURRENT;
            t.add(c.replica, c.address, c.role, c.term, c.applied, c.committed, state);
        }
        return t;
    }

    private Table serviceTable() {
        Table t = new Table(Texts.SERVICE_COLUMNS);
        services.forEach(s -> t.add(s.service, s.backends, s.meanWork));
        return t;
    }

    private Table versionTable() {
        Table t = new Table(Texts.VERSION_COLUMNS);
        versions.forEach(v -> t.add(v.service(), v.version(), v.serving(), v.draining()));
        return t;
    }

    private Table backendTable() {
        Table t = new Table(Texts.BACKEND_COLUMNS);
        for (BackendServer b : backends) {
            String state = b.state + (b.drainOrdered ? Texts.DRAIN_MARK : "");
            t.add(
                    b.id,
                    b.service,
                    b.version,
                    b.dataCentre,
                    b.address,
                    state,
                    b.running,
                    b.waiting,
                    b.work);
        }
        return t;
    }

    private Table quarantineTable() {
        Table t = new Table(Texts.QUARANTINE_COLUMNS);
        for (Quarantined q : quarantined) {
            String last = String.format(Texts.SECONDS_AGO, q.lastEndSeconds);
            String ended = String.join(" ", q.ended);
            t.add(q.fingerprint, q.kind, q.account, q.service, q.ended.size(), last, ended);
        }
        return t;
    }

    /** Returns the table of the drained data centres. */
    public Table drainedDataCentreTable() {
        Table t = new Table(Texts.DRAINED_DATA_CENTRE_COLUMNS);
        drainedDataCentres.forEach(d -> t.add(d.name, d.author, d.since));
        return t;
    }

    private Table routerTable() {
        Table t = new Table(Texts.ROUTER_COLUMNS);
        routers.forEach(r -> t.add(r.name, r.dataCentre, r.address, r.settingsPosition, r.heard));
        return t;
    }
}
