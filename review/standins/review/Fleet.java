package review;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A small fleet of the project's own processes on loopback addresses: on each machine a router, and
 * on the first machines a control instance beside it, started with the commands and templates of
 * the deploy file. Each machine has an address of its own in 127.0.0.0/8.
 */
public final class Fleet implements AutoCloseable {
    private static final String SETTINGS_PATH = "/etc/laurelweir/settings.toml";

    public final Path folder;
    public final Record record;
    public final int machines;
    public final int controls;
    public final int frontPort;
    public final int readyPort;
    public final int controlPort;
    private final int mFirstInternal;
    private final Path mRoot = Path.of("").toAbsolutePath();
    private final String mDeploy;
    private final Map<String, Process> mProcesses = new LinkedHashMap<>();
    private final boolean[] mBootstrapped;
    private final HttpClient mHttp =
            HttpClient.newBuilder()
                    .version(HttpClient.Version.HTTP_1_1)
                    .followRedirects(HttpClient.Redirect.NORMAL)
                    .connectTimeout(Duration.ofSeconds(1))
                    .build();

    public Fleet(Record record, int machines, int controls) throws IOException {
        this.record = record;
        this.machines = machines;
        this.controls = controls;
        folder = Files.createTempDirectory("laurelweir-review");
        mDeploy = Files.readString(mRoot.resolve("deploy/system.toml"));
        mBootstrapped = new boolean[machines];
        int[] ports = freePorts(5);
        frontPort = ports[0];
        readyPort = ports[1];
        controlPort = ports[2];
        mFirstInternal = ports[3];
        Runtime.getRuntime().addShutdownHook(new Thread(this::close));
    }

    /** Returns free ports below the range of outgoing connections; the last two are neighbours. */
    private int[] freePorts(int count) throws IOException {
        for (int attempt = 0; ; attempt++) {
            int first = 10_000 + (int) ((ProcessHandle.current().pid() * 37 + attempt * 101) % 20_000);
            List<ServerSocket> open = new ArrayList<>();
            try {
                for (int i = 0; i < count; i++) {
                    for (int m = 0; m < machines; m++) {
                        ServerSocket s = new ServerSocket();
                        open.add(s);
                        s.bind(new InetSocketAddress(InetAddress.getByName(ip(m)), first + i));
                    }
                }
                int[] ports = new int[count];
                for (int i = 0; i < count; i++) {
                    ports[i] = first + i;
                }
                return ports;
            } catch (IOException e) {
                if (attempt > 50) {
                    throw e;
                }
            } finally {
                for (ServerSocket s : open) {
                    s.close();
                }
            }
        }
    }

    /** Returns the address of a machine; it differs between runs. */
    public String ip(int machine) {
        long pid = ProcessHandle.current().pid();
        return "127." + (130 + machine) + "." + ((pid >> 8) & 0xff) + "." + (1 + pid % 250);
    }

    public InetSocketAddress front(int machine) {
        return new InetSocketAddress(ip(machine), frontPort);
    }

    public String control(int machine) {
        return ip(machine) + ":" + controlPort;
    }

    private String seeds() {
        List<String> seeds = new ArrayList<>();
        for (int i = 0; i < Math.min(3, controls); i++) {
            seeds.add(control(i));
        }
        return String.join(",", seeds);
    }

    /** The fields of the settings of a process, as DEPLOY.md lists them. */
    private Map<String, Object> fields(String role, int machine) {
        Map<String, Object> f = new LinkedHashMap<>();
        f.put("node_name", "front-" + machine);
        f.put("ip", ip(machine));
        f.put("zone", "zone-" + machine);
        f.put("region", "region");
        f.put("internal_port_range", List.of(mFirstInternal, mFirstInternal + 1));
        f.put("seeds", List.of(seeds().split(",")));
        f.put("bootstrap", !mBootstrapped[machine]);
        f.put("data_dir", folder.resolve("data-" + role + "-" + machine).toString());
        Map<String, Object> zones = new LinkedHashMap<>();
        for (int i = 0; i < machines; i++) {
            zones.put("zone-" + i, "region");
        }
        f.put("zones", zones);
        f.put(
                "listen",
                Map.of(
                        "front", ip(machine) + ":" + frontPort,
                        "ready_addr", ip(machine) + ":" + readyPort,
                        "control", control(machine)));
        f.put("limits", Map.of("max_fds", 4100));
        f.put("fault_tolerance", Map.of("machines", 1));
        f.put(
                "bounds",
                Map.of(
                        "strict_revocation", true,
                        "revoke_ms", 5000,
                        "config_apply_ms", 2000,
                        "retry_budget_ratio", 0.2,
                        "retry_budget_slack", 58,
                        "budget_window_s", 10));
        return f;
    }

    private String roleValue(String role, String key) {
        String section = mDeploy.substring(mDeploy.indexOf("[roles." + role + "]"));
        Matcher m =
                Pattern.compile("^" + key + " = \"([^\"]*)\"", Pattern.MULTILINE).matcher(section);
        if (!m.find()) {
            throw new IllegalStateException("no " + key + " of role " + role);
        }
        return m.group(1);
    }

    private Process start(String role, int machine) throws IOException {
        Map<String, Object> fields = fields(role, machine);
        Path settings = folder.resolve(role + "-" + machine + ".yaml");
        String template = Files.readString(mRoot.resolve(roleValue(role, "template")));
        Files.writeString(settings, Template.render(template, fields));
        List<String> command = new ArrayList<>();
        for (String word : roleValue(role, "run").split(" ")) {
            if (word.equals(SETTINGS_PATH)) {
                command.add(settings.toString());
            } else {
                command.add(Template.render(word, fields));
            }
        }
        ProcessBuilder b = new ProcessBuilder(command);
        b.directory(mRoot.toFile());
        b.redirectErrorStream(true);
        b.redirectOutput(
                ProcessBuilder.Redirect.appendTo(folder.resolve(role + "-" + machine + ".log").toFile()));
        Process p = b.start();
        mProcesses.put(role + "-" + machine, p);
        return p;
    }

    public Process startControl(int machine) throws IOException {
        Process p = start("control", machine);
        mBootstrapped[machine] = true;
        return p;
    }

    public Process startRouter(int machine) throws IOException {
        return start("router", machine);
    }

    public Process process(String role, int machine) {
        return mProcesses.get(role + "-" + machine);
    }

    public void startAll() throws IOException {
        for (int i = 0; i < machines; i++) {
            if (i < controls) {
                startControl(i);
            }
            startRouter(i);
        }
    }

    /** Sends a signal to a process that this fleet started. */
    public void signal(Process p, String name) throws IOException, InterruptedException {
        new ProcessBuilder("kill", "-" + name, Long.toString(p.pid())).start().waitFor();
    }

    /** Sends a call to one control instance; returns null without an answer within a second. */
    public HttpResponse<String> call(int machine, String method, String path, String body) {
        try {
            HttpRequest.Builder r =
                    HttpRequest.newBuilder(URI.create("http://" + control(machine) + path))
                            .timeout(Duration.ofMillis(1500))
                            .header("Content-Type", "application/json");
            if (body == null) {
                r.method(method, HttpRequest.BodyPublishers.noBody());
            } else {
                r.method(method, HttpRequest.BodyPublishers.ofString(body));
            }
            return mHttp.send(r.build(), HttpResponse.BodyHandlers.ofString());
        } catch (IOException e) {
            return null;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return null;
        }
    }

    /** Sends a manifest to the control instances in turn until one acknowledges it. */
    public void configure(String manifest) throws InterruptedException {
        long end = System.nanoTime() + 30_000_000_000L;
        for (int i = 0; System.nanoTime() < end; i++) {
            HttpResponse<String> r = call(i % controls, "PUT", "/-/config", manifest);
            if (r != null && r.statusCode() == 200) {
                return;
            }
            Thread.sleep(100);
        }
        throw new CannotRun("no control instance acknowledged the manifest");
    }

    /** Waits until a router says that it is ready. */
    public void awaitReady(int machine) throws InterruptedException {
        long end = System.nanoTime() + 30_000_000_000L;
        while (System.nanoTime() < end) {
            if (isReady(machine)) {
                return;
            }
            Thread.sleep(50);
        }
        throw new CannotRun("router " + machine + " is not ready");
    }

    public boolean isReady(int machine) {
        try {
            HttpRequest r =
                    HttpRequest.newBuilder(
                                    URI.create("http://" + ip(machine) + ":" + readyPort + "/readyz"))
                            .timeout(Duration.ofSeconds(1))
                            .build();
            return mHttp.send(r, HttpResponse.BodyHandlers.ofString()).statusCode() == 200;
        } catch (IOException e) {
            return false;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return false;
        }
    }

    /** Returns the last lines of a process's log. */
    public List<String> logTail(String role, int machine, int lines) throws IOException {
        Path log = folder.resolve(role + "-" + machine + ".log");
        List<String> all = Files.exists(log) ? Files.readAllLines(log) : List.of();
        return all.subList(Math.max(0, all.size() - lines), all.size());
    }

    @Override
    public void close() {
        for (Process p : mProcesses.values()) {
            p.destroyForcibly();
        }
        for (Process p : mProcesses.values()) {
            try {
                p.waitFor();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
        if (System.getenv("KEEP_LOGS") == null) {
            deleteFolder();
        }
    }

    private void deleteFolder() {
        if (!Files.exists(folder)) {
            return;
        }
        try (var files = Files.walk(folder)) {
            for (Path p : files.sorted((a, b) -> b.compareTo(a)).toList()) {
                Files.deleteIfExists(p);
            }
        } catch (IOException e) {
            System.err.println("the temporary folder stays: " + e);
        }
    }
}
