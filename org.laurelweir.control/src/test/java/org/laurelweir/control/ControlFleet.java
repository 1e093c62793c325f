package org.laurelweir.control;

import io.grpc.ManagedChannel;
import io.grpc.netty.NettyChannelBuilder;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Path;
import java.time.Duration;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.locks.LockSupport;
import java.util.function.Function;
import java.util.function.Predicate;
import org.laurelweir.lib.ResultCode;
import org.laurelweir.runtime.config.Endpoint;
import org.laurelweir.runtime.log.LogSettings;
import org.laurelweir.wire.v1.ControlServiceGrpc;
import org.laurelweir.wire.v1.ControlServiceGrpc.ControlServiceBlockingStub;
import org.laurelweir.wire.v1.ControlServiceGrpc.ControlServiceFutureStub;

/** Runs several control instances in this process, each with its own data folder. */
final class ControlFleet implements AutoCloseable {
    private static final Duration DEADLINE = Duration.ofSeconds(60);
    private static final long RETRY_MILLIS = 20;

    private final Path mFolder;
    private Duration mDepartureTimeout = Duration.ofSeconds(3);
    private int mSeeds;
    private boolean mMayBootstrap = true;
    private final Map<String, Endpoint> mPeers = new TreeMap<>();
    private final Map<String, ControlProgram> mRunning = new TreeMap<>();
    private final Map<String, ManagedChannel> mChannels = new TreeMap<>();

    ControlFleet(Path folder, int instances) throws IOException {
        mFolder = folder;
        for (int port : freePorts(instances)) {
            String name = "c" + (mPeers.size() + 1);
            Endpoint endpoint = new Endpoint("127.0.0.1", port);
            mPeers.put(name, endpoint);
            mChannels.put(
                    name,
                    NettyChannelBuilder.forTarget("dns:///" + endpoint).usePlaintext().build());
        }
    }

    /** Makes instances join automatically, with the first few of them as seeds. */
    ControlFleet seeds(int seeds) {
        mSeeds = seeds;
        return this;
    }

    /** Sets whether instances started from now on may bootstrap the log from empty disks. */
    ControlFleet mayBootstrap(boolean mayBootstrap) {
        mMayBootstrap = mayBootstrap;
        return this;
    }

    /** Returns free ports. All sockets are open at once, so that no port is returned twice. */
    private static List<Integer> freePorts(int count) throws IOException {
        List<ServerSocket> sockets = new ArrayList<>();
        List<Integer> ports = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            ServerSocket s = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
            sockets.add(s);
            ports.add(s.getLocalPort());
        }
        for (ServerSocket s : sockets) {
            s.close();
        }
        return ports;
    }

    /**
     * Sets the time without an exchange after which a sidecar counts as departed, for instances
     * started from now on.
     */
    ControlFleet vanishAfter(Duration silence) {
        mDepartureTimeout = silence;
        return this;
    }

    ControlFleet startAll() {
        mPeers.keySet().forEach(this::start);
        return this;
    }

    void start(String name) {
        start(name, mFolder.resolve(name));
    }

    void start(String name, Path dataFolder) {
        start(name, Optional.of(dataFolder));
    }

    void startWithoutDisk(String name) {
        start(name, Optional.empty());
    }

    private void start(String name, Optional<Path> dataFolder) {
        ControlFile file =
                new ControlFile(
                        mSeeds == 0 ? name : address(name),
                        "vestkyst",
                        "bergen",
                        Map.of(),
                        mPeers.get(name),
                        Optional.empty(),
                        new Endpoint("127.0.0.1", 0),
                        Optional.empty(),
                        mSeeds == 0 ? mPeers : Map.of(),
                        mPeers.values().stream().limit(mSeeds).toList(),
                        0,
                        mMayBootstrap,
                        dataFolder,
                        Optional.empty(),
                        Optional.of(1),
                        Duration.ofMillis(500),
                        Duration.ofSeconds(1),
                        mDepartureTimeout,
                        1,
                        LogSettings.defaults());
        ControlProgram program = new ControlProgram(file, InstantSource.system(), line -> {});
        program.start();
        mRunning.put(name, program);
    }

    void stop(String name) {
        mRunning.remove(name).stop();
    }

    String address(String name) {
        return mPeers.get(name).toString();
    }

    List<String> names() {
        return List.copyOf(mPeers.keySet());
    }

    ControlServiceBlockingStub stub(String name) {
        return ControlServiceGrpc.newBlockingStub(mChannels.get(name))
                .withWaitForReady()
                .withDeadlineAfter(DEADLINE);
    }

    ControlServiceFutureStub futureStub(String name) {
        return ControlServiceGrpc.newFutureStub(mChannels.get(name));
    }

    /** Calls the running instances in turn until one gives a wanted answer. */
    <R> R ask(Function<ControlServiceBlockingStub, R> call, Predicate<R> wanted) {
        return ask(mRunning.keySet(), call, wanted);
    }

    /** Calls one instance until it gives a wanted answer. */
    <R> R ask(String name, Function<ControlServiceBlockingStub, R> call, Predicate<R> wanted) {
        return ask(Set.of(name), call, wanted);
    }

    private <R> R ask(
            Set<String> names, Function<ControlServiceBlockingStub, R> call, Predicate<R> wanted) {
        long end = System.nanoTime() + DEADLINE.toNanos();
        while (System.nanoTime() < end) {
            for (String name : names) {
                R reply = call.apply(stub(name));
                if (wanted.test(reply)) {
                    return reply;
                }
            }
            LockSupport.parkNanos(RETRY_MILLIS * 1_000_000);
        }
        throw new AssertionError("no instance gave the wanted answer within " + DEADLINE);
    }

    /**
     * Returns whether a result code means that the call can be retried at another instance: the
     * instance does not lead, or there is no quorum.
     */
    static boolean isRetryable(int code) {
        ResultCode c = ResultCode.of(code);
        return c == ResultCode.NOT_LEADER || c == ResultCode.NO_QUORUM;
    }

    @Override
    public void close() {
        mChannels.values().forEach(ManagedChannel::shutdownNow);
        List.copyOf(mRunning.keySet()).forEach(this::stop);
    }
}
