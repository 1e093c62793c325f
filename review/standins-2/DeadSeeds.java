import java.io.IOException;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import org.laurelweir.runtime.rpc.ControlOrder;

/**
 * The core's machines are replaced as planned, one after the other, each by an empty one at another
 * address that starts first. Long after that, with nothing disrupted, the operator takes keys away.
 * Does any machine still run requests with such a key later than config_apply_ms after the ack?
 */
final class DeadSeeds {
    private static final int CONFIG_APPLY_MILLIS = 2000;
    private static final int STABLE_WINDOW_MILLIS = 3000;
    private static final int REPLACED = 3;
    private static final int KEYS = 120;

    private static final List<Socket> sHeld = new ArrayList<>();
    private static final List<ServerSocket> sDark = new ArrayList<>();

    public static void main(String[] args) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        try (Fleet fleet = new Fleet(4, 3);
                PrintWriter record = new PrintWriter(Path.of(args[0]).toFile())) {
            int code = run(fleet, trouble, record);
            record.println("exit " + code);
            record.flush();
            fleet.close();
            System.exit(code);
        }
    }

    private static String key(int i) {
        return "key" + i + "x2ctnfzs989anu6wsjnb";
    }

    /** The manifest of a version, in which the first keys are taken away. */
    private static String manifest(int version, int taken) {
        List<String> keys = new ArrayList<>();
        keys.add(Manifest.KEY);
        for (int i = taken; i < KEYS; i++) {
            keys.add(key(i));
        }
        return Manifest.of(
                version,
                Manifest.route("orders", "/orders/", "unsafe", "havnebok", 1),
                Manifest.service("havnebok"),
                Manifest.tenant("broker", keys.toArray(new String[0])));
    }

    private static int run(Fleet fleet, boolean trouble, PrintWriter record) throws Exception {
        long begin = Worker.now();
        List<Fleet.Machine> old = List.copyOf(fleet.controls().subList(0, REPLACED));
        List<Fleet.Machine> fronts = List.copyOf(fleet.machines.subList(4, fleet.machines.size()));
        List<Fleet.Machine> fresh = new ArrayList<>();
        List<String> seeds = old.stream().map(Fleet.Machine::controlAddress).toList();
        for (Fleet.Machine m : fleet.machines) {
            m.seeds = seeds;
        }
        Fleet.Machine stays = fleet.machines.get(3);
        for (int i = 0; i < REPLACED; i++) {
            fresh.add(fleet.add(true));
        }
        nameFronts(old, stays, fresh, fronts, record);
        for (Fleet.Machine m : List.copyOf(fleet.machines.subList(0, 7))) {
            if (m.hasDisk) {
                m.startControl();
            }
            m.startRouter();
        }
        if (Manifest.send(fleet, manifest(7, 0), 15_000) < 0) {
            return 2;
        }
        List<String> beatsTo = new ArrayList<>(List.of(stays.controlAddress()));
        fresh.forEach(m -> beatsTo.add(m.controlAddress()));
        List<Worker> workers = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
            Worker w =
                    new Worker("i-" + Client.newId(), "havnebok", "zone-" + i, 6, 43, beatsTo);
            workers.add(w);
            w.startBeats();
        }
        Worker.sleep(4000);
        List<Fleet.Machine> core = new ArrayList<>(List.of(stays));
        if (trouble) {
            for (int i = 0; i < REPLACED; i++) {
                replace(old.get(i), fresh.get(i), core, old.subList(i + 1, REPLACED), record);
                core.add(fresh.get(i));
            }
        } else {
            core.addAll(old);
        }
        long calm = Worker.now() + STABLE_WINDOW_MILLIS;
        Worker.sleep(4000);
        record.println("calm from " + (calm - begin) + " ms on");
        Client client = new Client(fronts, Manifest.HOST);
        for (Fleet.Machine m : fronts) {
            if (client.send(m, "/orders/1", Manifest.KEY, "", 1500).status() != 200) {
                record.println("machine " + m.number + " doesn't serve");
                return 2;
            }
        }
        return check(fleet, core, fronts, client, workers, begin, record);
    }

    /** Takes a key away each half second, and asks each machine with it when it may not run. */
    private static int check(
            Fleet fleet,
            List<Fleet.Machine> core,
            List<Fleet.Machine> fronts,
            Client client,
            List<Worker> workers,
            long begin,
            PrintWriter record) {
        Map<String, String> asked = new ConcurrentHashMap<>();
        int taken = 0;
        int version = 7;
        while (Worker.now() - begin < 96_000 && taken < KEYS - 1) {
            long next = Worker.now() + 500;
            taken++;
            version += 2;
            String text = manifest(version, taken);
            int at = taken;
            long acked = -1;
            for (int i = 0; i < 6 && acked < 0; i++) {
                Http.Message a =
                        Http.controlCall(
                                core.get(i % core.size()).controlAddress(),
                                "PUT",
                                "/-/config",
                                text);
                acked = a != null && a.status() == 200 ? Worker.now() : -1;
            }
            if (acked < 0) {
                record.println("version " + version + " has no ack");
                return 2;
            }
            String key = key(at - 1);
            long from = acked + CONFIG_APPLY_MILLIS + 20;
            Worker.daemon(
                    () -> {
                        Worker.sleep(from - Worker.now());
                        for (Fleet.Machine m : fronts) {
                            Worker.daemon(
                                    () -> {
                                        long sent = Worker.now();
                                        Client.Sent s =
                                                client.send(m, "/orders/1", key, "", 1500);
                                        asked.put(
                                                s.id(),
                                                "machine " + m.number + " (" + m.name
                                                        + ") key " + (at - 1) + " sent "
                                                        + (sent - from + CONFIG_APPLY_MILLIS + 20)
                                                        + " ms after the ack, at "
                                                        + (sent - begin) + " ms: status "
                                                        + s.status());
                                    });
                        }
                    });
            Worker.sleep(next - Worker.now());
        }
        Worker.sleep(4500);
        Set<String> ran = new HashSet<>();
        workers.forEach(w -> w.runs.forEach(r -> ran.add(r.id())));
        List<String> broken =
                asked.entrySet().stream()
                        .filter(e -> ran.contains(e.getKey()))
                        .map(e -> e.getKey() + " " + e.getValue())
                        .sorted()
                        .toList();
        record.println(taken + " keys taken away, " + asked.size() + " requests with such keys");
        broken.forEach(b -> record.println("ran with a key taken away: " + b));
        System.out.println(
                broken.size() + " of " + asked.size() + " requests ran with a key taken away");
        return broken.isEmpty() ? 0 : 1;
    }

    /**
     * Gives the machines without a disk names under which they ask the three first machines of the
     * core before all others: that is so for one name of 35.
     */
    private static void nameFronts(
            List<Fleet.Machine> old,
            Fleet.Machine stays,
            List<Fleet.Machine> fresh,
            List<Fleet.Machine> fronts,
            PrintWriter record) {
        List<String> given = old.stream().map(Fleet.Machine::internalAddress).toList();
        List<String> learned = new ArrayList<>(List.of(stays.internalAddress()));
        fresh.forEach(m -> learned.add(m.internalAddress()));
        int tried = 0;
        for (Fleet.Machine m : fronts) {
            boolean found = false;
            while (!found) {
                m.name = "front-" + tried++;
                List<String> order = ControlOrder.spread(m.name, m.ip).order(given, learned);
                found = new HashSet<>(order.subList(0, 3)).equals(new HashSet<>(given));
            }
            record.println("machine " + m.number + " is named " + m.name);
        }
    }

    /** Starts the new machine first; then the old one gets SIGTERM, and is silent for good. */
    private static void replace(
            Fleet.Machine old,
            Fleet.Machine fresh,
            List<Fleet.Machine> core,
            List<Fleet.Machine> others,
            PrintWriter record)
            throws Exception {
        List<String> seeds = new ArrayList<>();
        core.forEach(m -> seeds.add(m.controlAddress()));
        others.forEach(m -> seeds.add(m.controlAddress()));
        fresh.seeds = seeds.subList(0, Math.min(3, seeds.size()));
        fresh.startControl();
        fresh.startRouter();
        Worker.sleep(6000);
        old.control.destroy();
        old.router.destroy();
        if (!old.control.waitFor(8, TimeUnit.SECONDS)) {
            Fleet.kill(old.control);
        }
        goDark(old.internalAddress());
        record.println("machine " + old.number + " replaced by " + fresh.number);
        if (!old.router.waitFor(8, TimeUnit.SECONDS)) {
            Fleet.kill(old.router);
        }
    }

    /** Lets an address answer nothing any more: its queue of new channels is full for good. */
    private static void goDark(String address) throws IOException {
        int colon = address.lastIndexOf(':');
        InetAddress ip = InetAddress.getByName(address.substring(0, colon));
        int port = Integer.parseInt(address.substring(colon + 1));
        ServerSocket dark = new ServerSocket();
        dark.setReuseAddress(true);
        dark.bind(new InetSocketAddress(ip, port), 1);
        sDark.add(dark);
        for (int i = 0; i < 4; i++) {
            try {
                Socket s = new Socket();
                sHeld.add(s);
                s.connect(new InetSocketAddress(ip, port), 200);
            } catch (IOException e) {
                // The queue is full, as it shall be.
                return;
            }
        }
    }
}
