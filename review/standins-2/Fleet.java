import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/**
 * Machines of a small deployment on loopback addresses. Each runs the project's programs with the
 * commands and the settings templates of the deploy file, which are read from there.
 */
final class Fleet implements AutoCloseable {
    private static final Pattern PLACEHOLDER = Pattern.compile("\\{\\{([A-Za-z_.@0-9]+)\\}\\}");
    private static final Pattern SECTION =
            Pattern.compile("\\{\\{#([A-Za-z_.]+)\\}\\}(.*?)\\{\\{/\\1\\}\\}", Pattern.DOTALL);

    /** One machine: its address, its zone and its two processes. */
    final class Machine {
        final int number;
        final String ip;
        final String zone;
        final boolean hasDisk;
        String name;
        List<String> seeds;
        Process router;
        Process control;
        boolean bootstrap = true;
        Map<String, String> bounds = new LinkedHashMap<>(BOUNDS);

        Machine(int number, boolean hasDisk) {
            this.number = number;
            this.hasDisk = hasDisk;
            ip = host(number);
            zone = "zone-" + number;
            name = "front-" + number;
        }

        /** The address at which control instances and routers call this machine's control. */
        String internalAddress() {
            return ip + ":" + firstInternalPort;
        }

        String front() {
            return ip + ":" + frontPort;
        }

        String controlAddress() {
            return ip + ":" + controlPort;
        }

        String ready() {
            return ip + ":" + readyPort;
        }

        void startRouter() throws IOException {
            router = start("router", this);
        }

        void startControl() throws IOException {
            control = start("control", this);
        }
    }

    /** The bounds of the site file's sheet. */
    static final Map<String, String> BOUNDS = new LinkedHashMap<>();

    static {
        BOUNDS.put("strict_revocation", "true");
        BOUNDS.put("revoke_ms", "5000");
        BOUNDS.put("config_apply_ms", "2000");
        BOUNDS.put("retry_budget_ratio", "0.2");
        BOUNDS.put("retry_budget_slack", "64");
        BOUNDS.put("budget_window_s", "10");
    }

    final List<Machine> machines = new ArrayList<>();
    final Path folder;
    final int frontPort;
    final int readyPort;
    final int controlPort;
    final int firstInternalPort;
    private final Map<String, String> mCommands = new LinkedHashMap<>();
    private final List<Process> mStarted = new ArrayList<>();

    /**
     * Prepares machines that are not started.
     *
     * @param disks how many machines have a disk and run a control instance beside the router
     * @param others how many further machines run a router only
     */
    Fleet(int disks, int others) throws IOException {
        folder = Files.createTempDirectory("laurelweir-review");
        List<Integer> ports = freePorts(5);
        frontPort = ports.get(0);
        readyPort = ports.get(1);
        controlPort = ports.get(2);
        firstInternalPort = ports.get(3);
        mSecondInternalPort = ports.get(4);
        for (int i = 0; i < disks + others; i++) {
            machines.add(new Machine(i, i < disks));
        }
        String role = "";
        for (String line : Files.readAllLines(Path.of("deploy/system.toml"))) {
            if (line.startsWith("[roles.")) {
                role = line.substring("[roles.".length(), line.length() - 1);
            } else if (line.startsWith("run = ")) {
                mCommands.put(role, line.substring(line.indexOf('"') + 1, line.lastIndexOf('"')));
            }
        }
        Runtime.getRuntime().addShutdownHook(new Thread(this::close));
    }

    private final int mSecondInternalPort;

    private static String host(int i) {
        long pid = ProcessHandle.current().pid();
        return "127." + (130 + i) + "." + (1 + (pid >> 8) % 250) + "." + (1 + pid % 250);
    }

    private static List<Integer> freePorts(int count) throws IOException {
        List<ServerSocket> open = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            open.add(new ServerSocket(0, 1, InetAddress.getByName(host(0))));
        }
        List<Integer> ports = open.stream().map(ServerSocket::getLocalPort).toList();
        for (ServerSocket s : open) {
            s.close();
        }
        return ports;
    }

    /** Adds a machine that is not started: an empty one, after the first start of the whole. */
    Machine add(boolean hasDisk) {
        Machine m = new Machine(machines.size(), hasDisk);
        m.bootstrap = false;
        machines.add(m);
        return m;
    }

    List<Machine> controls() {
        return machines.stream().filter(m -> m.hasDisk).toList();
    }

    void start() throws IOException {
        for (Machine m : machines) {
            if (m.hasDisk) {
                m.startControl();
            }
            m.startRouter();
        }
    }

    private List<String> seeds() {
        return controls().stream().limit(3).map(Machine::controlAddress).toList();
    }

    private Process start(String role, Machine m) throws IOException {
        Map<String, Object> fields = fields(m);
        Path settings = folder.resolve(role + m.number + ".yaml");
        String template = Files.readString(Path.of("deploy/" + role + ".yaml"));
        Files.writeString(settings, render(template, fields));
        List<String> command = new ArrayList<>();
        for (String word : mCommands.get(role).split(" ")) {
            command.add(
                    render(word, fields)
                            .replace("/etc/laurelweir/settings.toml", settings.toString()));
        }
        Process p =
                new ProcessBuilder(command)
                        .redirectErrorStream(true)
                        .redirectOutput(
                                ProcessBuilder.Redirect.appendTo(
                                        folder.resolve(role + m.number + ".log").toFile()))
                        .start();
        synchronized (mStarted) {
            mStarted.add(p);
        }
        return p;
    }

    private Map<String, Object> fields(Machine m) {
        Map<String, Object> f = new LinkedHashMap<>();
        f.put("node_name", m.name);
        f.put("region", "region");
        f.put("zone", m.zone);
        f.put("ip", m.ip);
        f.put("listen.front", m.front());
        f.put("listen.ready_addr", m.ready());
        f.put("listen.control", m.controlAddress());
        f.put("internal_port_range.0", String.valueOf(firstInternalPort));
        f.put("internal_port_range.1", String.valueOf(mSecondInternalPort));
        f.put("seeds", m.seeds == null ? seeds() : m.seeds);
        f.put("limits.max_fds", "4100");
        f.put("bootstrap", String.valueOf(m.bootstrap));
        f.put("fault_tolerance.machines", "1");
        m.bounds.forEach((k, v) -> f.put("bounds." + k, v));
        if (m.hasDisk) {
            f.put("data_dir", folder.resolve("data" + m.number).toString());
        }
        Map<String, String> zones = new LinkedHashMap<>();
        machines.forEach(o -> zones.put(o.zone, "region"));
        f.put("zones", zones);
        return f;
    }

    private static String render(String text, Map<String, Object> fields) {
        Matcher s = SECTION.matcher(text);
        StringBuilder out = new StringBuilder();
        while (s.find()) {
            Object value = fields.get(s.group(1));
            StringBuilder part = new StringBuilder();
            if (value instanceof List<?> list) {
                list.forEach(v -> part.append(with(s.group(2), fields, v, "")));
            } else if (value instanceof Map<?, ?> map) {
                map.forEach((k, v) -> part.append(with(s.group(2), fields, v, k)));
            } else if (value != null && !value.equals("false")) {
                part.append(with(s.group(2), fields, value, ""));
            }
            s.appendReplacement(out, Matcher.quoteReplacement(part.toString()));
        }
        s.appendTail(out);
        return with(out.toString(), fields, "", "");
    }

    private static String with(String text, Map<String, Object> fields, Object item, Object key) {
        Matcher p = PLACEHOLDER.matcher(text);
        StringBuilder out = new StringBuilder();
        while (p.find()) {
            String name = p.group(1);
            Object v =
                    switch (name) {
                        case "." -> item;
                        case "@" -> key;
                        default -> fields.getOrDefault(name, "");
                    };
            String shown =
                    v instanceof List<?> l
                            ? String.join(",", l.stream().map(String::valueOf).toList())
                            : String.valueOf(v);
            p.appendReplacement(out, Matcher.quoteReplacement(shown));
        }
        p.appendTail(out);
        return out.toString();
    }

    /** Sends SIGKILL and waits for the end. */
    static void kill(Process p) {
        p.destroyForcibly();
        try {
            p.waitFor(5, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    /** Sends a signal by its name to one process that this fleet has started. */
    static void signal(Process p, String name) {
        try {
            new ProcessBuilder("sh", "-c", "kill -" + name + " " + p.pid()).start().waitFor();
        } catch (IOException | InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    @Override
    public void close() {
        synchronized (mStarted) {
            mStarted.forEach(Process::destroyForcibly);
            mStarted.clear();
        }
        if (System.getenv("KEEP") != null) {
            System.out.println("kept: " + folder);
            return;
        }
        try (Stream<Path> all = Files.walk(folder)) {
            all.sorted(Comparator.reverseOrder()).forEach(f -> f.toFile().delete());
        } catch (IOException e) {
            // The folder is temporary.
        }
    }
}
