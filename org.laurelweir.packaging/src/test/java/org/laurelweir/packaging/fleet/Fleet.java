package org.laurelweir.packaging.fleet;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.locks.LockSupport;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.laurelweir.junit.Await;
import org.laurelweir.pgm.fleet.ControlClient;
import org.laurelweir.pgm.fleet.FleetConnection;
import org.laurelweir.settings.KeyDigest;
import org.laurelweir.wire.v1.BackendState;
import org.laurelweir.wire.v1.ControlStatus;

/**
 * A small deployment on this machine: control instances, routers, and backend servers with their
 * sidecars, each a process. Its settings files, port files and logs are in {@code
 * target/fleets/NAME}.
 */
public final class Fleet implements AutoCloseable {
    private static final Duration CALL_TIMEOUT = Duration.ofSeconds(2);
    private static final long RETRY_PAUSE_NANOS = Duration.ofMillis(500).toNanos();

    private static final Map<String, Object> SHORT_ANSWER = Map.of("max_tokens", 3);

    private final Path mFolder;
    private final String mHost = host();
    private final Map<String, Integer> mControlPorts = new LinkedHashMap<>();
    private final Map<String, FleetProcess> mProcesses = new LinkedHashMap<>();
    private final List<StandIn> mStandIns = new ArrayList<>();
    private final List<FleetConnection> mConnections = new ArrayList<>();
    private ControlClient mControl;
    private int mProbeCount;

    private final Builder mBuilder;

    /** Sets the size and the settings of a fleet. */
    public static final class Builder {
        private final String mName;
        private int mControls = 1;
        private int mRouters = 1;
        private boolean mRelayed;
        private String mTree = "";

        private Builder(String name) {
            mName = name;
        }

        /** Sets the number of control instances; 1 by default. */
        public Builder controls(int count) {
            mControls = count;
            return this;
        }

        /** Sets the number of routers; 1 by default. */
        public Builder routers(int count) {
            mRouters = count;
            return this;
        }

        /** Puts a relay in front of each sidecar, so that a test can disturb its connections. */
        public Builder relayed() {
            mRelayed = true;
            return this;
        }

        /** Sets YAML lines that are added to the settings tree. */
        public Builder tree(String lines) {
            mTree = lines;
            return this;
        }

        /** Starts the control instances and the routers. */
        public Fleet start() {
            Fleet fleet = new Fleet(this);
            fleet.startControls();
            for (int i = 1; i <= mRouters; i++) {
                fleet.startRouter("router-" + i);
            }
            return fleet;
        }
    }

    private Fleet(Builder builder) {
        mBuilder = builder;
        mFolder = Path.of("target", "fleets", builder.mName).toAbsolutePath();
        clear(mFolder);
        Runtime.getRuntime().addShutdownHook(new Thread(this::destroyAll));
    }

    /** Returns a builder of a fleet with one control instance and one router. */
    public static Builder builder(String name) {
        return new Builder(name);
    }

    private void startControls() {
        Path file = mFolder.resolve("tree.yaml");
        write(file, tree(mBuilder.mTree));
        for (int i = 1; i <= mBuilder.mControls; i++) {
            mControlPorts.put("control-" + i, freePort());
        }
        String peers =
                mControlPorts.entrySet().stream()
                        .map(e -> "  " + e.getKey() + ": " + mHost + ":" + e.getValue())
                        .collect(Collectors.joining("\n"));
        mControlPorts.forEach(
                (name, port) ->
                        startProgram(
                                "control",
                                name,
                                "listen: " + mHost + ":" + port,
                                "data-folder: " + mFolder.resolve(name + "-data"),
                                "bootstrap-settings: " + file,
                                "peers:\n" + peers));
        mControl = newOperator();
    }

    private static String tree(String additionalLines) {
        return String.join(
                "\n",
                "/:",
                "  bound.factor: 10",
                "  retry.budget-share: 1",
                "  membership.damping: 0s",
                "/service=seilhjerne:",
                "  service.models: seil",
                "/service=havnebok:",
                "  service.kind: plain",
                "  service.path-prefix: /havnebok",
                "/account=broker:",
                "  account.key-digests: " + KeyDigest.of(Caller.KEY),
                additionalLines);
    }

    /** Starts a router that listens on a free port of the loopback address. */
    public FleetProcess startRouter(String name) {
        return startProgram("router", name, "listen: 127.0.0.1:0", controlSetting());
    }

    /** Starts a plain service with its sidecar. Calls take no time unless a fault delays them. */
    public StandIn startPlain(String name) {
        return startStandIn(name, "plain", "havnebok", "work-time: 0s");
    }

    /** Starts an engine with its sidecar. An answer has 200 tokens at 50 tokens per second. */
    public StandIn startEngine(String name) {
        return startStandIn(
                name,
                "engine",
                "seilhjerne",
                "models: [seil]\nanswer-tokens: 200\n"
                        + "batch: {tokens-per-second: 50, batch-knee: 100}");
    }

    private StandIn startStandIn(String name, String kind, String service, String settings) {
        FleetProcess p = process(name + "-backend", "org.laurelweir.standin." + kind + ".Main");
        p.writeSettings(
                String.join(
                        "\n",
                        "program: " + kind,
                        "name: " + name,
                        "port-file: " + p.portFile(""),
                        settings));
        p.start();
        FleetProcess sidecar = process(name, "org.laurelweir.sidecar.Main");
        // The port is fixed here, so that a restarted sidecar listens where the killed one did.
        InetSocketAddress address = new InetSocketAddress(mHost, freePort());
        Relay relay = mBuilder.mRelayed ? new Relay(address) : null;
        startProgram(
                "sidecar",
                name,
                "service: " + service,
                "listen: " + mHost + ":" + address.getPort(),
                relay == null ? "" : "announce: 127.0.0.1:" + relay.port(),
                "backend: 127.0.0.1:" + p.port(),
                controlSetting());
        StandIn s = new StandIn(p, sidecar, relay, "/" + kind);
        mStandIns.add(s);
        return s;
    }

    private FleetProcess process(String name, String main) {
        return mProcesses.computeIfAbsent(name, n -> new FleetProcess(n, main, mFolder));
    }

    private FleetProcess startProgram(String program, String name, String... settings) {
        FleetProcess p = process(name, "org.laurelweir." + program + ".Main");
        List<String> lines = new ArrayList<>();
        lines.add("program: " + program);
        lines.add("name: " + name);
        lines.add("region: vestkyst");
        lines.add("data-centre: bergen");
        lines.add("port-file: " + p.portFile(""));
        lines.add("metrics-port-file: " + p.portFile("-metrics"));
        lines.addAll(List.of(settings));
        p.writeSettings(String.join("\n", lines) + "\n");
        p.start();
        return p;
    }

    private String controlSetting() {
        return controlAddresses().stream()
                .map(a -> "\n  - " + a)
                .collect(Collectors.joining("", "controls:", ""));
    }

    private List<String> controlAddresses() {
        return mControlPorts.values().stream().map(p -> mHost + ":" + p).toList();
    }

    /**
     * Waits until every control instance is ready, control knows every backend server, and every
     * router has calls answered.
     */
    public Fleet awaitReady() {
        processesByPrefix("control").forEach(this::awaitReady);
        Await.until(
                "control knows every backend server",
                () -> backendCount(BackendState.SERVING) == mStandIns.size());
        processesByPrefix("router").forEach(this::awaitServing);
        return this;
    }

    private List<FleetProcess> processesByPrefix(String prefix) {
        return mProcesses.values().stream().filter(p -> p.name().startsWith(prefix)).toList();
    }

    /** Waits until a program reports that it is ready. */
    public void awaitReady(FleetProcess p) {
        int port = p.metricsPort();
        Await.until(p.name() + " is ready", () -> isOk(port, "/readyz"));
    }

    /** Waits until a router is ready and has calls answered by each kind of backend server. */
    public void awaitServing(FleetProcess router) {
        awaitReady(router);
        int port = router.port();
        if (mStandIns.stream().anyMatch(StandIn::isPlain)) {
            Await.until(
                    "plain calls through " + router.name(), () -> isOk(port, "/havnebok/ready"));
        }
        if (!mStandIns.stream().allMatch(StandIn::isPlain)) {
            Await.until(
                    "chats through " + router.name(),
                    () ->
                            Caller.chat(router, "ready", SHORT_ANSWER, Map.of())
                                    .findFault()
                                    .isEmpty());
        }
    }

    /**
     * Waits until calls through a router reach each of the given plain services at its present
     * incarnation.
     */
    public void awaitReachable(FleetProcess router, List<StandIn> plains) {
        for (StandIn p : plains) {
            String path = "/havnebok/reach-" + mProbeCount++;
            Await.until(
                    "calls reach " + p.sidecar().name(),
                    () -> isOk(router.port(), path) && !p.runsOfPath(path).isEmpty());
        }
    }

    /** Returns the number of backend servers that control reports in a state. */
    public long backendCount(BackendState state) {
        return control().status().getBackendsList().stream()
                .filter(b -> b.getBackend().getState() == state)
                .count();
    }

    private static boolean isOk(int port, String path) {
        try {
            return Caller.await(Caller.send(port, "GET", path, "", Map.of())).status() == 200;
        } catch (RuntimeException e) {
            return false;
        }
    }

    /** Returns the client by which tests act as an operator of control. */
    public ControlClient control() {
        return mControl;
    }

    /** Returns another client to control, for a test with several operators. */
    public ControlClient newOperator() {
        FleetConnection connection =
                new FleetConnection(
                        controlAddresses(),
                        CALL_TIMEOUT,
                        () -> LockSupport.parkNanos(RETRY_PAUSE_NANOS));
        connection.start();
        mConnections.add(connection);
        return connection.control();
    }

    /** Returns the process with a name; null if there is none. */
    public FleetProcess process(String name) {
        return mProcesses.get(name);
    }

    /** Waits until a running control instance is the leader and returns it. */
    public FleetProcess leader() {
        List<FleetProcess> found = new ArrayList<>();
        Await.until(
                "a leader of control",
                () -> {
                    control().status().getControlsList().stream()
                            .filter(ControlStatus::getLeader)
                            .map(c -> mProcesses.get(c.getName()))
                            .filter(FleetProcess::isRunning)
                            .forEach(found::add);
                    return !found.isEmpty();
                });
        return found.get(0);
    }

    @Override
    public void close() {
        mConnections.forEach(FleetConnection::stop);
        destroyAll();
        mStandIns.stream().map(StandIn::relay).filter(Objects::nonNull).forEach(Relay::close);
    }

    private void destroyAll() {
        mProcesses.values().forEach(FleetProcess::destroy);
    }

    /**
     * Returns a loopback address that is derived from the process id: no other program takes a port
     * of it between the choice of a free port and its use.
     */
    private static String host() {
        long pid = ProcessHandle.current().pid();
        return "127." + (1 + (pid >> 16) % 254) + "." + ((pid >> 8) & 0xff) + "." + (pid & 0xff);
    }

    private int freePort() {
        try (ServerSocket socket = new ServerSocket(0, 0, InetAddress.getByName(mHost))) {
            return socket.getLocalPort();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private static void clear(Path folder) {
        try {
            if (Files.exists(folder)) {
                try (Stream<Path> all = Files.walk(folder)) {
                    all.sorted(Comparator.reverseOrder()).forEach(p -> p.toFile().delete());
                }
            }
            Files.createDirectories(folder);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private static void write(Path file, String text) {
        try {
            Files.writeString(file, text);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
