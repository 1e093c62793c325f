package org.laurelweir.control.measure;

import java.lang.management.ManagementFactory;
import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.laurelweir.consensus.ConsensusEvent;
import org.laurelweir.consensus.HardState;
import org.laurelweir.consensus.Membership;
import org.laurelweir.consensus.ReplicaId;
import org.laurelweir.consensus.Snapshot;
import org.laurelweir.control.rpc.ExchangeReplies;
import org.laurelweir.coordination.ControlConfig;
import org.laurelweir.coordination.ControlEffect;
import org.laurelweir.coordination.ControlEvent;
import org.laurelweir.coordination.ControlReducer;
import org.laurelweir.lib.BackendRef;
import org.laurelweir.membership.Backend;
import org.laurelweir.membership.MembershipConfig;
import org.laurelweir.membership.MembershipCursor;
import org.laurelweir.membership.RouterReport;
import org.laurelweir.membership.SidecarReport;
import org.laurelweir.wire.CommandCodec;
import org.laurelweir.wire.MembershipCodec;
import org.laurelweir.wire.v1.ExchangeReply;
import org.laurelweir.wire.v1.ExchangeRequest;

/**
 * Measures the processor time and message bytes of one exchange, decoding and encoding included,
 * without sockets. One reducer serves 37 services; sidecars and routers exchange in turn, without
 * restarts of backend servers and with some.
 */
public final class ExchangeMeasurement {
    private static final int SERVICES = 37;
    private static final int ROUNDS = 300;
    private static final int WARM_UP_ROUNDS = 100;

    private final int mBackends;
    private final int mRouters;
    private final ControlReducer mReducer;
    private final Map<String, MembershipCursor> mCursors = new HashMap<>();
    private final Random mRandom = new Random(7);
    private final long[] mIncarnations;
    private Instant mNow = Instant.EPOCH;
    private ExchangeReply mReply;
    private long mPersisted;
    private long mRequestBytes;
    private long mSidecarBytes;
    private long mRouterBytes;

    private ExchangeMeasurement(int backends) {
        mBackends = backends;
        mRouters = Math.max(1, backends / 11);
        mIncarnations = new long[backends];
        ReplicaId self = new ReplicaId("c1", 1);
        ControlConfig config =
                ControlConfig.builder(self, 1, Map.of("c1", "127.0.0.1:1"))
                        .membership(
                                MembershipConfig.builder("c1", 1)
                                        .flaps(Duration.ofMinutes(1), 1_000)
                                        .build())
                        .build();
        mReducer = new ControlReducer(config, new CommandCodec(), 1);
        step(
                new ControlEvent.ReplicaEvent(
                        new ConsensusEvent.Recovered(HardState.INITIAL, Snapshot.NONE, List.of())));
        step(
                new ControlEvent.ReplicaEvent(
                        new ConsensusEvent.Bootstrapped(Membership.ofVoters(List.of(self)))));
    }

    /** Prints a line per number of backend servers and restarts per second. */
    public static void main(String[] args) {
        System.out.println(
                "backends restarts/s us/exchange request_bytes sidecar_reply_bytes"
                        + " router_reply_bytes");
        new ExchangeMeasurement(1_000).run(1);
        System.out.println("the line above is a warm-up");
        for (int backends : new int[] {100, 1_000, 4_000}) {
            for (int restarts : new int[] {0, 1, 10}) {
                new ExchangeMeasurement(backends).run(restarts);
            }
        }
    }

    private void run(int restartsPerSecond) {
        for (int i = 0; i < WARM_UP_ROUNDS; i++) {
            round(restartsPerSecond);
        }
        mRequestBytes = 0;
        mSidecarBytes = 0;
        mRouterBytes = 0;
        long before = cpuNanos();
        for (int i = 0; i < ROUNDS; i++) {
            round(restartsPerSecond);
        }
        long spent = cpuNanos() - before;
        long sidecars = (long) ROUNDS * mBackends;
        long routers = (long) ROUNDS * mRouters;
        System.out.printf(
                "%d %d %.2f %d %d %d%n",
                mBackends,
                restartsPerSecond,
                spent / 1e3 / (sidecars + routers),
                mRequestBytes / (sidecars + routers),
                mSidecarBytes / sidecars,
                mRouterBytes / routers);
    }

    private static long cpuNanos() {
        return ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime();
    }

    /** Simulates one second, in which each sidecar and router exchanges once. */
    private void round(int restarts) {
        mNow = mNow.plusSeconds(1);
        step(new ControlEvent.Tick());
        for (int i = 0; i < restarts; i++) {
            mIncarnations[mRandom.nextInt(mBackends)]++;
        }
        for (int i = 0; i < mBackends; i++) {
            sidecar(i);
        }
        for (int i = 0; i < mRouters; i++) {
            router(i);
        }
    }

    private void sidecar(int i) {
        String id = "worker-" + i;
        Backend b =
                new Backend(
                        new BackendRef(id, mIncarnations[i]),
                        "service-" + i % SERVICES,
                        "bergen",
                        "vestkyst",
                        "10.0.0.1:4000",
                        Backend.State.SERVING,
                        1,
                        1);
        SidecarReport report = new SidecarReport(b, mRandom.nextInt(10_000), 12, 1);
        mSidecarBytes +=
                exchange(
                        id,
                        ExchangeRequest.newBuilder().setSidecar(MembershipCodec.toWire(report)));
    }

    private void router(int i) {
        String name = "router-" + i;
        RouterReport report =
                new RouterReport(name, 1, "bergen", "vestkyst", "10.0.1.1:80", "10.0.1.1:81");
        mRouterBytes +=
                exchange(
                        name,
                        ExchangeRequest.newBuilder().setRouter(MembershipCodec.toWire(report)));
    }

    private long exchange(String reader, ExchangeRequest.Builder request) {
        MembershipCursor cursor = mCursors.getOrDefault(reader, MembershipCursor.NONE);
        byte[] bytes = request.setMembership(MembershipCodec.toWire(cursor)).build().toByteArray();
        mRequestBytes += bytes.length;
        step(ExchangeReplies.event(1, bytes));
        mCursors.put(reader, MembershipCodec.toCore(mReply.getMembership().getCursor()));
        return mReply.getSerializedSize();
    }

    private void step(ControlEvent event) {
        mReducer.step(mNow, event, this::take);
        while (mPersisted != 0) {
            long sequence = mPersisted;
            mPersisted = 0;
            ControlEvent synced =
                    new ControlEvent.ReplicaEvent(new ConsensusEvent.Persisted(sequence));
            mReducer.step(mNow, synced, this::take);
        }
    }

    private void take(ControlEffect e) {
        if (e instanceof ControlEffect.AnswerExchange a) {
            mReply = ExchangeReplies.reply(a);
        } else if (e instanceof ControlEffect.Persist p) {
            mPersisted = p.persist().sequence();
        }
    }
}
